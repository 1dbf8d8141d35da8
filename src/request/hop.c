#include "request/hop.h"

#include <errno.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEAL_BYTES 65

/* The sealed headers in the order in which the seal covers them. */
enum
{
  FIELD_ATTEMPT,
  FIELD_SERVICE,
  FIELD_ACCOUNT,
  FIELD_CLASS,
  FIELD_CHAT,
  FIELD_HOME,
  FIELD_FORMER,
  FIELD_FINGERPRINT,
  FIELD_KEY,
  FIELD_BODY,
  FIELD_CRASHED,
  FIELD_VERSION,
  FIELD_LOADS,
  FIELD_DEADLINE,
  FIELD_TOKENS,
  FIELD_FLAGS,
  FIELD_COUNT
};

G_STATIC_ASSERT (FIELD_COUNT + 1 <= HOP_HEADERS);
G_STATIC_ASSERT ((FIELD_COUNT + 1) * (sizeof (hop_header_t) + 4) <= HOP_HEADERS_BYTES);
/* A hash, four numbers and five marks between them. */
G_STATIC_ASSERT (HOP_SAMPLES *(16 + 4 * 10 + 5) < HOP_VALUE_BYTES);
G_STATIC_ASSERT (LIM_SUSPECT_CRASHES == 2); /* written as a pair, as an attempt id is */

static const char *const FIELD_NAMES[FIELD_COUNT] = {
  HOP_ATTEMPT_HEADER,     "X-Medlarplank-Service",     "X-Medlarplank-Account",
  "X-Medlarplank-Class",  "X-Medlarplank-Chat",        "X-Medlarplank-Home",
  "X-Medlarplank-Former", "X-Medlarplank-Print",       "X-Medlarplank-Key",
  "X-Medlarplank-Body",   "X-Medlarplank-Crashed",     "X-Medlarplank-Version",
  "X-Medlarplank-Loads",  "X-Medlarplank-Deadline-Ms", "X-Medlarplank-Tokens",
  "X-Medlarplank-Flags",
};

#define FLAG_HAS_CHAT (1U << 0)
#define FLAG_MAY_WAIT (1U << 1)
#define FLAG_REFERRED (1U << 2)
#define FLAG_IDEMPOTENT (1U << 3)

/* seal_of() - covers the names too, and a byte between fields that no header value can hold */
static void
seal_of (const char *fleet_key, const char *const values[FIELD_COUNT], char out[SEAL_BYTES])
{
  GHmac *hmac;

  hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)fleet_key, strlen (fleet_key));
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      g_hmac_update (hmac, (const guchar *)FIELD_NAMES[i], -1);
      g_hmac_update (hmac, (const guchar *)":", 1);
      g_hmac_update (hmac, (const guchar *)values[i], -1);
      g_hmac_update (hmac, (const guchar *)"\n", 1);
    }
  g_strlcpy (out, g_hmac_get_string (hmac), SEAL_BYTES);
  g_hmac_unref (hmac);
}

/* same_seal() - takes as long for a seal that is almost right, so that it cannot be guessed
 * bytewise
 */
static bool
same_seal (const char *given, const char *right)
{
  unsigned char difference = 0;

  if (strlen (given) != strlen (right))
    return false;
  for (size_t i = 0; right[i] != '\0'; i++)
    difference |= (unsigned char)(given[i] ^ right[i]);
  return difference == 0;
}

static bool
parse_hex (const char *text, size_t digits, uint64_t *out)
{
  uint64_t value = 0;

  for (size_t i = 0; i < digits; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      value = value << 4 | (uint64_t)digit;
    }
  *out = value;
  return true;
}

static bool
parse_hash (const char *text, uint64_t *out)
{
  return strlen (text) == 16 && parse_hex (text, 16, out);
}

static bool
parse_decimal (const char *text, uint64_t most, uint64_t *out)
{
  return g_ascii_string_to_unsigned (text, 10, 0, most, out, NULL);
}

static bool
parse_u32 (const char *text, uint32_t *out)
{
  uint64_t value;

  if (!parse_decimal (text, UINT32_MAX, &value))
    return false;
  *out = (uint32_t)value;
  return true;
}

static bool
parse_tokens (const char *text, hop_t *hop)
{
  char prompt[16];
  const char *slash = strchr (text, '/');

  if (slash == NULL || (size_t)(slash - text) >= sizeof prompt)
    return false;
  memcpy (prompt, text, (size_t)(slash - text));
  prompt[slash - text] = '\0';
  return parse_u32 (prompt, &hop->prompt_tokens) && parse_u32 (slash + 1, &hop->output_tokens);
}

static bool
parse_name (const char *text, char out[LIM_NAME_BYTES])
{
  return text[0] != '\0' && g_strlcpy (out, text, LIM_NAME_BYTES) < LIM_NAME_BYTES;
}

/* parse_sample() - ENGINE/LOAD/WAITING/COST/AGE_MS */
static bool
parse_sample (const char *text, hop_sample_t *sample)
{
  g_auto (GStrv) parts = g_strsplit (text, "/", 6);

  return g_strv_length (parts) == 5 && parse_hash (parts[0], &sample->engine_hash) &&
         parse_u32 (parts[1], &sample->load) && parse_u32 (parts[2], &sample->waiting) &&
         parse_u32 (parts[3], &sample->cost) && parse_u32 (parts[4], &sample->age_ms);
}

static bool
parse_samples (const char *text, hop_t *hop)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", HOP_SAMPLES + 1);

  for (uint32_t i = 0; parts[i] != NULL; i++)
    {
      if (i == HOP_SAMPLES || !parse_sample (parts[i], &hop->samples[i]))
        return false;
      hop->sample_count++;
    }
  return true;
}

static bool
parse_flags (const char *text, hop_t *hop)
{
  uint32_t flags;

  if (!parse_u32 (text, &flags))
    return false;
  hop->has_chat = (flags & FLAG_HAS_CHAT) != 0;
  hop->may_wait = (flags & FLAG_MAY_WAIT) != 0;
  hop->referred = (flags & FLAG_REFERRED) != 0;
  hop->idempotent = (flags & FLAG_IDEMPOTENT) != 0;
  return true;
}

static bool
parse_all (hop_t *hop, const char *const values[FIELD_COUNT])
{
  return hop_attempt_parse (values[FIELD_ATTEMPT], hop->attempt) &&
         parse_name (values[FIELD_SERVICE], hop->service) &&
         parse_name (values[FIELD_ACCOUNT], hop->account) &&
         parse_name (values[FIELD_CLASS], hop->class_name) &&
         parse_hash (values[FIELD_CHAT], &hop->chat_hash) &&
         parse_hash (values[FIELD_HOME], &hop->home_hash) &&
         parse_hash (values[FIELD_FORMER], &hop->former_hash) &&
         parse_hash (values[FIELD_FINGERPRINT], &hop->fingerprint) &&
         hop_attempt_parse (values[FIELD_KEY], hop->key_hash) &&
         parse_hash (values[FIELD_BODY], &hop->body_hash) &&
         hop_attempt_parse (values[FIELD_CRASHED], hop->crashed) &&
         parse_decimal (values[FIELD_VERSION], UINT64_MAX, &hop->version) &&
         parse_samples (values[FIELD_LOADS], hop) &&
         parse_u32 (values[FIELD_DEADLINE], &hop->deadline_ms) &&
         parse_tokens (values[FIELD_TOKENS], hop) && parse_flags (values[FIELD_FLAGS], hop);
}

static uint32_t
flags_of (const hop_t *hop)
{
  return (hop->has_chat ? FLAG_HAS_CHAT : 0) | (hop->may_wait ? FLAG_MAY_WAIT : 0) |
         (hop->referred ? FLAG_REFERRED : 0) | (hop->idempotent ? FLAG_IDEMPOTENT : 0);
}

static void
write_hash (hop_header_t *header, uint64_t value)
{
  snprintf (header->value, sizeof header->value, "%016" PRIx64, value);
}

static void
write_samples (const hop_t *hop, char out[HOP_VALUE_BYTES])
{
  size_t used = 0;

  out[0] = '\0';
  for (uint32_t i = 0; i < hop->sample_count; i++)
    {
      const hop_sample_t *sample = &hop->samples[i];
      int bytes = snprintf (out + used, HOP_VALUE_BYTES - used,
                            "%s%016" PRIx64 "/%" PRIu32 "/%" PRIu32 "/%" PRIu32 "/%" PRIu32,
                            i > 0 ? "," : "", sample->engine_hash, sample->load, sample->waiting,
                            sample->cost, sample->age_ms);

      g_assert (bytes > 0 && (size_t)bytes < HOP_VALUE_BYTES - used);
      used += (size_t)bytes;
    }
}

uint32_t
hop_write (const hop_t *hop, const char *fleet_key, hop_header_t out[HOP_HEADERS])
{
  const char *values[FIELD_COUNT];

  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      g_strlcpy (out[i].name, FIELD_NAMES[i], sizeof out[i].name);
      values[i] = out[i].value;
    }
  hop_attempt_text (hop->attempt, out[FIELD_ATTEMPT].value);
  g_strlcpy (out[FIELD_SERVICE].value, hop->service, sizeof out[0].value);
  g_strlcpy (out[FIELD_ACCOUNT].value, hop->account, sizeof out[0].value);
  g_strlcpy (out[FIELD_CLASS].value, hop->class_name, sizeof out[0].value);
  write_hash (&out[FIELD_CHAT], hop->chat_hash);
  write_hash (&out[FIELD_HOME], hop->home_hash);
  write_hash (&out[FIELD_FORMER], hop->former_hash);
  write_hash (&out[FIELD_FINGERPRINT], hop->fingerprint);
  hop_attempt_text (hop->key_hash, out[FIELD_KEY].value);
  write_hash (&out[FIELD_BODY], hop->body_hash);
  hop_attempt_text (hop->crashed, out[FIELD_CRASHED].value);
  snprintf (out[FIELD_VERSION].value, sizeof out[0].value, "%" PRIu64, hop->version);
  write_samples (hop, out[FIELD_LOADS].value);
  snprintf (out[FIELD_DEADLINE].value, sizeof out[0].value, "%" PRIu32, hop->deadline_ms);
  snprintf (out[FIELD_TOKENS].value, sizeof out[0].value, "%" PRIu32 "/%" PRIu32,
            hop->prompt_tokens, hop->output_tokens);
  snprintf (out[FIELD_FLAGS].value, sizeof out[0].value, "%" PRIu32, flags_of (hop));
  g_strlcpy (out[FIELD_COUNT].name, HOP_SEAL_HEADER, sizeof out[0].name);
  seal_of (fleet_key, values, out[FIELD_COUNT].value);
  return FIELD_COUNT + 1;
}

hop_outcome_t
hop_read (hop_t *hop, const char *fleet_key, struct evkeyvalq *headers)
{
  const char *values[FIELD_COUNT];
  const char *given = evhttp_find_header (headers, HOP_SEAL_HEADER);
  char right[SEAL_BYTES];

  if (given == NULL)
    return HOP_BAD_SEAL;
  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    {
      const char *value = evhttp_find_header (headers, FIELD_NAMES[i]);

      values[i] = value != NULL ? value : "";
    }
  seal_of (fleet_key, values, right);
  if (!same_seal (given, right))
    return HOP_BAD_SEAL;
  memset (hop, 0, sizeof *hop);
  return parse_all (hop, values) ? HOP_OK : HOP_BROKEN;
}

void
hop_load_write (const hop_sample_t *sample, char out[48])
{
  snprintf (out, 48, "%" PRIu32 "/%" PRIu32 "/%" PRIu32, sample->load, sample->waiting,
            sample->cost);
}

bool
hop_load_read (const char *text, hop_sample_t *sample)
{
  g_auto (GStrv) parts = g_strsplit (text != NULL ? text : "", "/", 4);

  return g_strv_length (parts) == 3 && parse_u32 (parts[0], &sample->load) &&
         parse_u32 (parts[1], &sample->waiting) && parse_u32 (parts[2], &sample->cost);
}

void
hop_attempt_text (const uint64_t attempt[2], char out[33])
{
  snprintf (out, 33, "%016" PRIx64 "%016" PRIx64, attempt[0], attempt[1]);
}

bool
hop_attempt_parse (const char *text, uint64_t attempt[2])
{
  return strlen (text) == 32 && parse_hex (text, 16, &attempt[0]) &&
         parse_hex (text + 16, 16, &attempt[1]);
}

unsigned int
hop_attempt_hash (const void *attempt)
{
  const uint64_t *id = attempt;

  return (unsigned int)(id[0] ^ id[1] ^ id[1] >> 32);
}

int
hop_attempt_equal (const void *left, const void *right)
{
  return memcmp (left, right, 2 * sizeof (uint64_t)) == 0;
}
