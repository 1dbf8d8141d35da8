/* Unit tests of records of the log's streams, of manifests and of claims, with odd values in each
 * field, of another writer: none ends the process or stops the reading, and the next good record
 * holds. */
#include "base/clock.h"
#include "connection/platform_answer.h"
#include "control_rig.h"
#include "odd_values.h"
#include "request/policy/claims/claim.h"
#include "suite.h"
#include "version/replay.h"

#include <string.h>

#define KEY "\"08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d\""
#define ACCOUNT "{\"key_sha256\":" KEY "}"
#define CLASS "{\"priority\":0,\"deadline_ms\":2000}"
#define SERVICE "{\"kind\":\"model\",\"engines\":[\"e1\"],\"slots\":4}"
#define ROUTE "{\"path\":\"/a\",\"service\":\"pool\",\"class\":\"short\"}"
#define ACCOUNTS "{\"east\":" ACCOUNT "}"
#define CLASSES "{\"short\":" CLASS "}"
#define SERVICES "{\"pool\":" SERVICE "}"
#define SOUND                                                                                      \
  "{\"client_accounts\":" ACCOUNTS ",\"classes\":" CLASSES ",\"services\":" SERVICES               \
  ",\"routes\":[" ROUTE "]}"
#define HASH "\"00000000000000070000000000000008\""
#define CLAIM_ID "\"00000000000000030000000000000004\""
#define CLAIMS_STREAM "claims/pool/0"
#define HORIZON_S 200
#define FUZZ_SEED 20261206
#define FUZZ_ROUNDS 20000
#define RIG_ROUNDS 20
#define RIG_RECORDS 20
#define REPEATED_PUBLISHES 3

G_DEFINE_AUTOPTR_CLEANUP_FUNC (replay_t, replay_free)

/** struct odd_kind - a kind of records: its fields, and text around each record */
typedef struct
{
  const odd_field_t *fields;
  uint32_t count;
  const char *before;
  const char *after;
} odd_kind_t;

#define KIND(fields, before, after)                                                                \
  {                                                                                                \
    fields, G_N_ELEMENTS (fields), before, after                                                   \
  }

static const odd_field_t publish_fields[] = { { "kind", "\"publish\"" },
                                              { "id", "\"odd\"" },
                                              { "base", "1" },
                                              { "by", "\"ann\"" },
                                              { "manifest", SOUND } };
static const odd_field_t patch_fields[] = { { "kind", "\"publish\"" },
                                            { "id", "\"odd\"" },
                                            { "base", "1" },
                                            { "patch",
                                              "{\"services\":{\"pool\":{\"slots\":9}}}" } };
static const odd_field_t checkpoint_fields[] = { { "kind", "\"checkpoint\"" },
                                                 { "version", "1" },
                                                 { "as_of", "0" },
                                                 { "by", "\"ann\"" },
                                                 { "manifest", SOUND } };
static const odd_field_t restore_fields[] = {
  { "kind", "\"restore\"" }, { "version", "9" }, { "by", "\"ann\"" }, { "manifest", SOUND }
};
static const odd_field_t manifest_fields[] = { { "client_accounts", ACCOUNTS },
                                               { "classes", CLASSES },
                                               { "services", SERVICES },
                                               { "routes", "[" ROUTE "]" } };
static const odd_field_t manifest_account_fields[] = { { "key_sha256", KEY },
                                                       { "weight", "1000" },
                                                       { "queue_limit", "8" } };
static const odd_field_t class_fields[] = { { "priority", "0" },
                                            { "deadline_ms", "2000" },
                                            { "expected_tokens", "8" } };
static const odd_field_t manifest_service_fields[] = {
  { "kind", "\"model\"" },    { "engines", "[\"e1\"]" },       { "slots", "4" },
  { "bound_percent", "125" }, { "cache_lifetime_ms", "1000" }, { "prefill_tokens_s", "100" },
  { "claim_shards", "4" },
};
static const odd_field_t manifest_route_fields[] = {
  { "method", "\"POST\"" },  { "path", "\"/a\"" },     { "model", "\"m\"" },
  { "service", "\"pool\"" }, { "class", "\"short\"" }, { "idempotent", "true" },
};

#define BEFORE_PUBLISHED "{\"kind\":\"publish\",\"id\":\"odd\",\"base\":1,\"manifest\":"
#define BEFORE_ACCOUNT BEFORE_PUBLISHED "{\"client_accounts\":{\"east\":"
#define AFTER_ACCOUNT                                                                              \
  "},\"classes\":{\"short\":" CLASS "},\"services\":{\"pool\":" SERVICE "},\"routes\":[" ROUTE "]" \
  "}"                                                                                              \
  "}"
#define BEFORE_CLASS BEFORE_ACCOUNT ACCOUNT "},\"classes\":{\"short\":"
#define AFTER_CLASS "},\"services\":{\"pool\":" SERVICE "},\"routes\":[" ROUTE "]}}"
#define BEFORE_SERVICE BEFORE_CLASS CLASS "},\"services\":{\"pool\":"
#define AFTER_SERVICE "},\"routes\":[" ROUTE "]}}"
#define BEFORE_ROUTE BEFORE_SERVICE SERVICE "},\"routes\":["

static const odd_kind_t manifest_kinds[] = {
  KIND (publish_fields, "", ""),
  KIND (patch_fields, "", ""),
  KIND (checkpoint_fields, "", ""),
  KIND (restore_fields, "", ""),
  KIND (manifest_fields, BEFORE_PUBLISHED, "}"),
  KIND (manifest_account_fields, BEFORE_ACCOUNT, AFTER_ACCOUNT),
  KIND (class_fields, BEFORE_CLASS, AFTER_CLASS),
  KIND (manifest_service_fields, BEFORE_SERVICE, AFTER_SERVICE),
  KIND (manifest_route_fields, BEFORE_ROUTE, "]}}"),
};

static const odd_field_t claim_fields[] = {
  { "c", CLAIM_ID },        { "k", HASH },   { "b", "\"0000000000000009\"" },
  { "t", "1700000000000" }, { "g", "true" },
};
static const odd_field_t release_fields[] = { { "r", CLAIM_ID }, { "k", HASH } };
static const odd_field_t done_fields[] = { { "d", CLAIM_ID }, { "k", HASH }, { "s", "201" } };

static const odd_kind_t claim_kinds[] = {
  KIND (claim_fields, "[", "]"),
  KIND (release_fields, "[", "]"),
  KIND (done_fields, "[", "]"),
};

/* Return: whether the next publish on the version in force is accepted */
static bool
publish_next (replay_t *replay, uint32_t number)
{
  g_autofree char *id = g_strdup_printf ("sound-%u", number);
  json_t *manifest = json_loads (SOUND, 0, NULL);
  uint64_t base = replay_manifest (replay) ? replay_manifest (replay)->version : 0;
  g_autofree char *text = replay_format_publish (id, base, "ann", manifest, NULL);
  replay_result_t result = replay_apply (replay, replay_next (replay), text, strlen (text));

  json_decref (manifest);
  return result.verdict == REPLAY_ACCEPTED && replay_is_ready (replay);
}

static replay_t *
new_replay (void)
{
  replay_t *replay = replay_new ();

  replay_set_first (replay, (position_t){ 0 });
  CU_ASSERT (publish_next (replay, 0));
  return replay;
}

static void
check_publishes (const GString *text)
{
  g_autoptr (replay_t) replay = new_replay ();

  replay_apply (replay, replay_next (replay), text->str, text->len);
  for (uint32_t i = 1; i <= REPEATED_PUBLISHES; i++)
    if (!publish_next (replay, i))
      {
        CU_FAIL ("a sound publish is refused");
        printf ("%.300s\n", text->str);
        return;
      }
}

/* Guards against a record of another writer after which no publish is accepted any more. */
static void
test_next_publish_is_accepted (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (manifest_kinds); i++)
    {
      const odd_kind_t *kind = &manifest_kinds[i];
      g_autoptr (GPtrArray) odd = odd_values_make (kind->fields, kind->count);

      for (guint j = 0; j < odd->len; j++)
        {
          GString *text = g_ptr_array_index (odd, j);

          g_string_prepend (text, kind->before);
          g_string_append (text, kind->after);
          check_publishes (text);
        }
    }
}

/* Likewise of a version that is as large as a record may state. */
static void
test_restored_version_leaves_room_for_others (void)
{
  static const char *const versions[] = { "4503599627370496", "4503599627370497",
                                          "9007199254740991", "9007199254740992" };

  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      GString *text = g_string_new (NULL);

      g_string_printf (text, "{\"kind\":\"restore\",\"version\":%s,\"manifest\":" SOUND "}",
                       versions[i]);
      check_publishes (text);
      g_string_free (text, TRUE);
    }
}

/** struct claimer - a reader of a claims stream */
typedef struct
{
  claim_stream_t *claims;
  uint64_t now_us;
  uint64_t offset;
  uint64_t ids;
} claimer_t;

static void
claimer_apply (claimer_t *claimer, const char *text, size_t bytes)
{
  claim_apply_record (claimer->claims, claimer->now_us, claimer->now_us / CLOCK_US_PER_MS,
                      (position_t){ .offset = claimer->offset++ }, text, bytes);
}

static claim_verdict_t
claimer_claim (claimer_t *claimer, uint64_t key_hash)
{
  uint64_t id[2] = { UINT64_MAX, ++claimer->ids };
  claim_key_t key = { { 7, key_hash }, 9 };
  claim_result_t result = { .verdict = CLAIM_PENDING };
  g_autofree char *text = NULL;

  claim_request (claimer->claims, claimer->now_us, id, &key, claimer->now_us + CLOCK_US_PER_S,
                 NULL);
  if (claim_append_due_us (claimer->claims) != UINT64_MAX)
    claimer->now_us = MAX (claimer->now_us, claim_append_due_us (claimer->claims));
  text = claim_next_batch (claimer->claims, claimer->now_us, claimer->now_us / CLOCK_US_PER_MS);
  if (text)
    {
      claim_append_succeeded (claimer->claims, claimer->now_us);
      claimer_apply (claimer, text, strlen (text));
    }
  claim_take_result (claimer->claims, claimer->now_us, &result);
  return result.verdict;
}

static claimer_t
claimer_new (void)
{
  claimer_t claimer = { .claims = claim_new (HORIZON_S * CLOCK_US_PER_S),
                        .now_us = UINT64_C (1700000000) * CLOCK_US_PER_S };

  claim_set_first (claimer.claims, (position_t){ 0 });
  return claimer;
}

/* Guards against claims that get no result, and against a key that is held for good. */
static void
test_next_claim_is_granted (void)
{
  claimer_t claimer = claimer_new ();

  for (size_t i = 0; i < G_N_ELEMENTS (claim_kinds); i++)
    {
      const odd_kind_t *kind = &claim_kinds[i];
      g_autoptr (GPtrArray) odd = odd_values_make (kind->fields, kind->count);

      for (guint j = 0; j < odd->len; j++)
        {
          GString *text = g_ptr_array_index (odd, j);

          claimer_apply (&claimer, text->str, text->len);
          g_string_prepend (text, kind->before);
          g_string_append (text, kind->after);
          claimer_apply (&claimer, text->str, text->len);
          CU_ASSERT_EQUAL (claimer_claim (&claimer, 1000 + claimer.ids), CLAIM_GRANTED);
        }
      claimer.now_us += 2 * HORIZON_S * CLOCK_US_PER_S;
      claimer_claim (&claimer, 1);
      claimer.now_us += 2 * HORIZON_S * CLOCK_US_PER_S;
      CU_ASSERT_EQUAL (claimer_claim (&claimer, 8), CLAIM_GRANTED);
    }
  claim_free (claimer.claims);
}

static char *
format_read (const GPtrArray *data)
{
  json_t *records = json_array ();
  json_t *read = json_pack ("{sisisiso}", "first", 0, "next", (int)data->len, "end", (int)data->len,
                            "records", records);
  char *text;

  for (guint i = 0; i < data->len; i++)
    {
      const GString *record = g_ptr_array_index (data, i);

      json_array_append_new (
          records, json_pack ("{siss%}", "offset", (int)i, "data", record->str, record->len));
    }
  text = json_dumps (read, JSON_COMPACT);
  json_decref (read);
  return text;
}

/* Guards against a record that hides all others of its stream, as the answer with it is refused. */
static void
test_odd_record_hides_no_other (void)
{
  g_autoptr (GPtrArray) odd = odd_values_make (done_fields, G_N_ELEMENTS (done_fields));

  for (guint i = 0; i < odd->len; i++)
    {
      g_autoptr (GPtrArray) data = g_ptr_array_new ();
      GString *text = g_ptr_array_index (odd, i);
      g_autoptr (GString) sound = g_string_new (SOUND);
      platform_answer_read_t read;
      char *answer;

      if (!g_utf8_validate_len (text->str, text->len, NULL) && !memchr (text->str, 0, text->len))
        continue; /* the platform takes text only */
      g_ptr_array_add (data, sound);
      g_ptr_array_add (data, text);
      g_ptr_array_add (data, sound);
      answer = format_read (data);
      CU_ASSERT_PTR_NOT_NULL_FATAL (answer);
      if (platform_answer_parse_read (&read, answer, strlen (answer), 0, 3))
        {
          CU_ASSERT_EQUAL_FATAL (read.read.record_count, 3);
          CU_ASSERT_EQUAL (read.read.records[1].data_bytes, text->len);
          CU_ASSERT_STRING_EQUAL (read.read.records[2].data, SOUND);
          platform_answer_read_clear (&read);
        }
      else
        {
          CU_FAIL ("a record hides the others");
          printf ("%.300s\n", answer);
        }
      free (answer);
    }
}

/* Guards against a host whose name ends early at a NUL, and so passes for another one. */
static void
test_name_with_a_nul_is_refused (void)
{
  static const char text[] =
      "{\"revision\":7,\"full\":true,\"hosts\":[{\"name\":\"e1\\u0000x\",\"role\":\"sidecar\","
      "\"data_center\":\"hall\",\"region\":\"city\",\"http\":\"127.0.0.1:81\","
      "\"exchange\":\"127.0.0.1:82\",\"state\":\"live\"}]}";
  platform_hosts_t hosts;

  CU_ASSERT_FALSE (platform_answer_parse_hosts (&hosts, text, strlen (text)));
}

static GString *
mutate (GRand *rand, const odd_kind_t *kinds, uint32_t count)
{
  const odd_kind_t *kind = &kinds[g_rand_int_range (rand, 0, (gint32)count)];
  g_autofree char *valid = odd_values_record (kind->fields, kind->count, kind->count, NULL);
  GString *text = g_string_new (kind->before);

  g_string_append_printf (text, "%s%s", valid, kind->after);
  odd_values_mutate (rand, text);
  return text;
}

/* Guards against random records after which no publish is accepted, or no claim granted. */
static void
test_random_records (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (FUZZ_SEED);
  claimer_t claimer = claimer_new ();

  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      GString *manifest = mutate (rand, manifest_kinds, G_N_ELEMENTS (manifest_kinds));
      GString *claim = mutate (rand, claim_kinds, G_N_ELEMENTS (claim_kinds));
      g_autoptr (replay_t) starting = replay_new ();

      if (round % 10 == 0)
        check_publishes (manifest);
      replay_set_first (starting, (position_t){ .offset = 1 });
      replay_apply (starting, replay_next (starting), manifest->str, manifest->len);
      claimer_apply (&claimer, claim->str, claim->len);
      if (round % 100 == 0)
        CU_ASSERT_EQUAL (claimer_claim (&claimer, 1000 + round), CLAIM_GRANTED);
      g_string_free (manifest, TRUE);
      g_string_free (claim, TRUE);
    }
  claim_free (claimer.claims);
}

static void
append_random (GRand *rand, rig_t *rig)
{
  GString *manifest = mutate (rand, manifest_kinds, G_N_ELEMENTS (manifest_kinds));
  GString *claim = mutate (rand, claim_kinds, G_N_ELEMENTS (claim_kinds));

  fake_platform_append (&rig->platform, REPLAY_STREAM, manifest->str);
  fake_platform_append (&rig->platform, CLAIMS_STREAM, claim->str);
  g_string_free (manifest, TRUE);
  g_string_free (claim, TRUE);
}

static void
claim_key (rig_t *rig, uint64_t number)
{
  message_claim_t *message = message_new (MESSAGE_CLAIM);

  g_strlcpy (message->stream, CLAIMS_STREAM, sizeof message->stream);
  message->claim_id[0] = UINT64_MAX;
  message->claim_id[1] = number;
  message->key.key_hash[0] = number;
  message->key.body_hash = 5;
  message->expiry_us = clock_now_us (&rig->daemon.clock) + 10 * CLOCK_US_PER_S;
  rig_deliver (rig, message);
}

/* Guards against a daemon that ends or stops following beside random records of its streams. */
static void
test_daemon_follows_beside_random_records (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (FUZZ_SEED);
  g_auto (rig_t) rig = { 0 };

  rig_init (&rig);
  for (uint32_t round = 1; round <= RIG_ROUNDS; round++)
    {
      uint64_t version;

      for (uint32_t i = 0; i < RIG_RECORDS; i++)
        append_random (rand, &rig);
      rig_ticks (&rig, 10);
      version = rig.received.version;
      rig_publish_version (&rig.platform, version);
      TICK_UNTIL (&rig, rig.received.version == version + 1);
      claim_key (&rig, 1000 + round);
      TICK_UNTIL (&rig, rig.received.claim_result_count == round);
      CU_ASSERT_EQUAL (rig.received.claim_result.verdict, CLAIM_GRANTED);
    }
  CU_ASSERT (rig.received.fresh);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_next_publish_is_accepted),
                                       SUITE_TEST (test_restored_version_leaves_room_for_others),
                                       SUITE_TEST (test_next_claim_is_granted),
                                       SUITE_TEST (test_odd_record_hides_no_other),
                                       SUITE_TEST (test_name_with_a_nul_is_refused),
                                       SUITE_TEST (test_random_records),
                                       SUITE_TEST (test_daemon_follows_beside_random_records),
                                       CU_TEST_INFO_NULL };

  return suite_run ("odd_log", tests);
}
