#include "request/hop.h"
#include "suite.h"

#include <event2/http.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define FLEET_KEY "a fleet key of the tests"

static hop_t
sample_hop (void)
{
  hop_t hop = { .attempt = { 0x1122334455667788, 9 },
                .service = "medlar-pool",
                .account = "tuul",
                .class_name = "appeal",
                .chat_hash = 1,
                .home_hash = 2,
                .former_home_hash = 3,
                .fingerprint = UINT64_MAX,
                .key_hash = { 4, 5 },
                .body_hash = 6,
                .crashed = { 7, 0 },
                .version = 12,
                .samples = { { 8, 1, 2, 3, 4 }, { UINT64_MAX, 5, 6, UINT32_MAX, 0 } },
                .sample_count = 2,
                .deadline_ms = 2500,
                .prompt_tokens = 700,
                .output_tokens = 90,
                .has_chat = true,
                .referred = true };
  return hop;
}

static struct evkeyvalq *
write_headers (const hop_t *hop)
{
  struct evkeyvalq *headers = calloc (1, sizeof *headers);
  hop_header_t out[HOP_HEADER_COUNT];
  uint32_t count = hop_write (hop, FLEET_KEY, out);

  TAILQ_INIT (headers);
  for (uint32_t i = 0; i < count; i++)
    evhttp_add_header (headers, out[i].name, out[i].value);
  return headers;
}

static void
free_headers (struct evkeyvalq *headers)
{
  evhttp_clear_headers (headers);
  free (headers);
}

static void
reads_back_every_field (void)
{
  hop_t hop = sample_hop ();
  hop_t back;
  struct evkeyvalq *headers = write_headers (&hop);

  CU_ASSERT_EQUAL (hop_read (&back, FLEET_KEY, headers), HOP_OK);
  CU_ASSERT_EQUAL (back.attempt[0], hop.attempt[0]);
  CU_ASSERT_EQUAL (back.attempt[1], hop.attempt[1]);
  CU_ASSERT_STRING_EQUAL (back.service, hop.service);
  CU_ASSERT_STRING_EQUAL (back.account, hop.account);
  CU_ASSERT_STRING_EQUAL (back.class_name, hop.class_name);
  CU_ASSERT_EQUAL (back.chat_hash, 1);
  CU_ASSERT_EQUAL (back.home_hash, 2);
  CU_ASSERT_EQUAL (back.former_home_hash, 3);
  CU_ASSERT_EQUAL (back.fingerprint, UINT64_MAX);
  CU_ASSERT_EQUAL (back.key_hash[1], 5);
  CU_ASSERT_EQUAL (back.body_hash, 6);
  CU_ASSERT_EQUAL (back.crashed[0], 7);
  CU_ASSERT_EQUAL (back.version, 12);
  CU_ASSERT_EQUAL (back.sample_count, 2);
  CU_ASSERT_EQUAL (back.samples[0].waiting, 2);
  CU_ASSERT_EQUAL (back.samples[1].engine_hash, UINT64_MAX);
  CU_ASSERT_EQUAL (back.samples[1].cost, UINT32_MAX);
  CU_ASSERT_EQUAL (back.deadline_ms, 2500);
  CU_ASSERT_EQUAL (back.prompt_tokens, 700);
  CU_ASSERT_EQUAL (back.output_tokens, 90);
  CU_ASSERT_TRUE (back.has_chat);
  CU_ASSERT_TRUE (back.referred);
  CU_ASSERT_FALSE (back.may_wait);
  CU_ASSERT_FALSE (back.idempotent);
  free_headers (headers);
}

/* Guards against requests that bypass the routers: a client on the network forges the header, or
 * changes one byte of it, to be served under another account. A sidecar must reject a header with
 * any byte changed, left out or added. */
static void
refuses_a_changed_header (void)
{
  hop_t hop = sample_hop ();
  hop_t back;
  hop_header_t out[HOP_HEADER_COUNT];
  uint32_t count = hop_write (&hop, FLEET_KEY, out);

  CU_ASSERT_EQUAL (count, HOP_HEADER_COUNT);
  for (uint32_t changed = 0; changed < count; changed++)
    {
      size_t bytes = strlen (out[changed].value);
      struct evkeyvalq *headers = write_headers (&hop);

      for (size_t i = 0; i <= bytes; i++)
        {
          g_autofree char *value = g_strdup_printf ("%s1", out[changed].value);

          if (i < bytes)
            {
              value[i] ^= 1;
              value[bytes] = '\0';
            }
          evhttp_remove_header (headers, out[changed].name);
          CU_ASSERT_EQUAL (hop_read (&back, FLEET_KEY, headers), HOP_BAD_SEAL);
          evhttp_add_header (headers, out[changed].name, value);
          CU_ASSERT_EQUAL (hop_read (&back, FLEET_KEY, headers), HOP_BAD_SEAL);
        }
      free_headers (headers);
    }
}

/* A header with the largest value in every field must fit, and be read back unchanged. */
static void
fits_the_largest_values (void)
{
  hop_t hop;
  hop_t back;
  struct evkeyvalq *headers;

  memset (&hop, 0xff, sizeof hop);
  memset (hop.service, 's', sizeof hop.service - 1);
  memset (hop.account, 'a', sizeof hop.account - 1);
  memset (hop.class_name, 'c', sizeof hop.class_name - 1);
  hop.service[sizeof hop.service - 1] = '\0';
  hop.account[sizeof hop.account - 1] = '\0';
  hop.class_name[sizeof hop.class_name - 1] = '\0';
  hop.sample_count = HOP_SAMPLES_MAX;
  hop.has_chat = hop.may_wait = hop.referred = hop.idempotent = true;
  headers = write_headers (&hop);
  CU_ASSERT_EQUAL (hop_read (&back, FLEET_KEY, headers), HOP_OK);
  CU_ASSERT_STRING_EQUAL (back.class_name, hop.class_name);
  CU_ASSERT_EQUAL (memcmp (back.samples, hop.samples, sizeof hop.samples), 0);
  CU_ASSERT_EQUAL (back.version, UINT64_MAX);
  CU_ASSERT_EQUAL (back.output_tokens, UINT32_MAX);
  free_headers (headers);
}

static void
refuses_another_key (void)
{
  hop_t hop = sample_hop ();
  hop_t back;
  struct evkeyvalq *headers = write_headers (&hop);

  CU_ASSERT_EQUAL (hop_read (&back, "another key of the tests", headers), HOP_BAD_SEAL);
  free_headers (headers);
}

/* A daemon of another version may write a header that this one can't parse. Its seal is valid, so
 * it must not be reported as a forged one. */
static void
distinguishes_malformed_from_forged (void)
{
  hop_t hop = sample_hop ();
  hop_t back;
  struct evkeyvalq *headers;

  hop.service[0] = '\0';
  headers = write_headers (&hop);
  CU_ASSERT_EQUAL (hop_read (&back, FLEET_KEY, headers), HOP_MALFORMED);
  free_headers (headers);
}

static void
reads_attempt_ids (void)
{
  uint64_t attempt[2];
  char text[33];

  CU_ASSERT_TRUE (hop_parse_attempt ("00000000000000ff0000000000000010", attempt));
  CU_ASSERT_EQUAL (attempt[0], 255);
  CU_ASSERT_EQUAL (attempt[1], 16);
  hop_format_attempt (attempt, text);
  CU_ASSERT_STRING_EQUAL (text, "00000000000000ff0000000000000010");
  CU_ASSERT_FALSE (hop_parse_attempt ("ff", attempt));
  CU_ASSERT_FALSE (hop_parse_attempt ("00000000000000fg0000000000000010", attempt));
  CU_ASSERT_FALSE (hop_parse_attempt ("00000000000000ff00000000000000100", attempt));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "reads back every field", reads_back_every_field },
    { "refuses a changed header", refuses_a_changed_header },
    { "fits the largest values", fits_the_largest_values },
    { "refuses another key", refuses_another_key },
    { "distinguishes malformed from forged", distinguishes_malformed_from_forged },
    { "reads attempt ids", reads_attempt_ids },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("hop", tests);
}
