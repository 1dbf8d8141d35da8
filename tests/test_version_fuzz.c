#include "version/replay.h"
#include "suite.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (manifest_t, manifest_unref)

#define SEED 20240817
#define MANIFEST_ROUNDS 3000
#define RECORD_ROUNDS 6000
#define MUTATIONS_MAX 6
#define STREAM_RECORDS 40 /* records that one reader processes before a new one takes over */

/* A position in a log that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

static const char *const MANIFESTS[] = { "examples/tuul.json", "examples/jogak.json",
                                         "tests/corpus/manifest.json" };
static const char *const RECORDS[] = { "tests/corpus/publish.json", "tests/corpus/patch.json",
                                       "tests/corpus/checkpoint.json",
                                       "tests/corpus/restore.json" };
static const char *const TOKENS[] = {
  "{",    "}",       "[",        "]",         "\"",       ",",         ":",
  "null", "true",    "-1",       "0",         "1e999",    "2.5",       "9223372036854775807",
  "\\u0", "\\ud800", "\"kind\"", "\"patch\"", "\"base\"", "\"as_of\"", "\"version\":1,",
  "{}",   "[]",      "\xff",     "\n",        "[[[[[[[[", "\"\"",      "\"manifest\":{},",
};

typedef struct
{
  GRand *rand;
  GString *texts[4];
  uint32_t text_count;
} fuzz_t;

static uint32_t
choose (const fuzz_t *fuzz, size_t count)
{
  return (uint32_t)g_rand_int_range (fuzz->rand, 0, (gint32)count);
}

static GString *
load (const char *name)
{
  const char *source_dir = getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *path = g_build_filename (source_dir != NULL ? source_dir : ".", name, NULL);
  char *text = NULL;
  gsize text_bytes = 0;
  GString *string;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, &text_bytes, NULL));
  string = g_string_new_len (text, (gssize)text_bytes);
  g_free (text);
  return string;
}

static fuzz_t
new_fuzz (const char *const *names, uint32_t count)
{
  fuzz_t fuzz = { .rand = g_rand_new_with_seed (SEED), .text_count = count };

  for (uint32_t i = 0; i < count; i++)
    fuzz.texts[i] = load (names[i]);
  return fuzz;
}

static void
free_fuzz (fuzz_t *fuzz)
{
  for (uint32_t i = 0; i < fuzz->text_count; i++)
    g_string_free (fuzz->texts[i], TRUE);
  g_rand_free (fuzz->rand);
}

static void
mutate_once (const fuzz_t *fuzz, GString *text)
{
  const GString *other = fuzz->texts[choose (fuzz, fuzz->text_count)];
  gssize pos = choose (fuzz, text->len + 1);
  gssize length = choose (fuzz, MIN (text->len - (gsize)pos, 200) + 1);
  uint32_t from = choose (fuzz, other->len);

  switch (choose (fuzz, 5))
    {
    case 0:
      if ((gsize)pos < text->len)
        text->str[pos] = (char)choose (fuzz, 256);
      break;
    case 1:
      g_string_erase (text, pos, length);
      break;
    case 2:
      g_string_insert (text, pos, TOKENS[choose (fuzz, G_N_ELEMENTS (TOKENS))]);
      break;
    case 3:
      g_string_insert_len (text, pos, other->str + from, (gssize)MIN (other->len - from, 60));
      break;
    default:
      if ((gsize)pos < text->len && g_ascii_isdigit (text->str[pos]))
        text->str[pos] = (char)('0' + choose (fuzz, 10));
      break;
    }
}

/* Return: a block of exactly @text_bytes, so that a sanitizer detects reads beyond the end. */
static char *
mutate (const fuzz_t *fuzz, size_t *text_bytes)
{
  const GString *origin = fuzz->texts[choose (fuzz, fuzz->text_count)];
  GString *text = g_string_new_len (origin->str, (gssize)origin->len);
  char *block;

  for (uint32_t remaining = choose (fuzz, MUTATIONS_MAX + 1); remaining > 0; remaining--)
    mutate_once (fuzz, text);
  *text_bytes = text->len;
  block = g_memdup2 (text->str, text->len);
  g_string_free (text, TRUE);
  return block;
}

/* Parsing the canonical form of an accepted manifest must yield the same digest. */
static void
expect_same_digest (const manifest_t *manifest)
{
  g_autofree char *text = json_dumps (manifest->json, JSON_SORT_KEYS | JSON_COMPACT);
  g_autoptr (manifest_t) again = manifest_parse (text, strlen (text), NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (again);
  CU_ASSERT_STRING_EQUAL (again->digest, manifest->digest);
}

static void
test_manifests (void)
{
  fuzz_t fuzz = new_fuzz (MANIFESTS, G_N_ELEMENTS (MANIFESTS));
  uint32_t accepted = 0;

  for (uint32_t round = 0; round < MANIFEST_ROUNDS; round++)
    {
      size_t text_bytes;
      g_autofree char *text = mutate (&fuzz, &text_bytes);
      g_autoptr (GError) error = NULL;
      g_autoptr (manifest_t) manifest = manifest_parse (text, text_bytes, &error);

      CU_ASSERT_TRUE ((manifest == NULL) == (error != NULL));
      if (error != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (error->message, ": "));
      if (manifest == NULL)
        continue;
      accepted++;
      expect_same_digest (manifest);
    }
  printf ("seed %d: %u of %d accepted ", SEED, accepted, MANIFEST_ROUNDS);
  CU_ASSERT_TRUE (accepted > 0 && accepted < MANIFEST_ROUNDS);
  free_fuzz (&fuzz);
}

static replay_t *
new_reader (const fuzz_t *fuzz)
{
  replay_t *replay = replay_new ();

  replay_set_first (replay, at (choose (fuzz, 3)));
  replay_set_end (replay, at (choose (fuzz, STREAM_RECORDS)));
  return replay;
}

static void
test_records (void)
{
  fuzz_t fuzz = new_fuzz (RECORDS, G_N_ELEMENTS (RECORDS));
  replay_t *replay = new_reader (&fuzz);
  uint64_t version = 0;
  uint32_t verdicts[REPLAY_SKIPPED + 1] = { 0 };

  for (uint32_t round = 0; round < RECORD_ROUNDS; round++)
    {
      size_t text_bytes;
      g_autofree char *text = mutate (&fuzz, &text_bytes);
      replay_result_t result = replay_apply (replay, replay_next (replay), text, text_bytes);

      verdicts[result.verdict]++;
      CU_ASSERT_TRUE_FATAL (result.version >= version);
      version = result.version;
      if (round % STREAM_RECORDS == STREAM_RECORDS - 1)
        {
          replay_free (replay);
          replay = new_reader (&fuzz);
          version = 0;
        }
    }
  printf ("seed %d:", SEED);
  for (uint32_t verdict = 0; verdict <= REPLAY_SKIPPED; verdict++)
    {
      printf (" %u", verdicts[verdict]);
      CU_ASSERT_TRUE (verdicts[verdict] > 0);
    }
  printf (" ");
  replay_free (replay);
  free_fuzz (&fuzz);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_manifests),
    SUITE_TEST (test_records),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("version fuzz", tests);
}
