/* Unit tests of the headers that a gateway sends to engines. */
#include "platform/request_format.h"
#include "suite.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

static const char *
find_header (const GArray *headers, const char *name)
{
  for (guint i = 0; i < headers->len; i++)
    {
      const http_client_header_t *header = &g_array_index (headers, http_client_header_t, i);

      if (g_ascii_strcasecmp (header->name, name) == 0)
        return header->value;
    }
  return NULL;
}

/* A caller that could name a copy itself would continue the run of another account. */
static void
test_copies_are_named_by_the_gateway_alone (void)
{
  static const address_t backup = { .ip = "10.0.0.2", .port = 90 };
  static const format_copy_t copy = { .address = { .ip = "10.0.0.3", .port = 91 }, .id = "r1" };
  format_upstream_request_t hop = { .engine_id = "e1" };
  g_autoptr (GArray) without = g_array_new (FALSE, FALSE, sizeof (http_client_header_t));
  g_autoptr (GArray) with = g_array_new (FALSE, FALSE, sizeof (http_client_header_t));
  format_buffers_t text;
  struct evkeyvalq headers;

  TAILQ_INIT (&headers);
  evhttp_add_header (&headers, "X-Kv-Backup", "10.9.9.9:1");
  evhttp_add_header (&headers, "Kv-From", "10.9.9.9:1/other");
  request_format_get ()->write_request (&hop, &headers, without, &text);
  CU_ASSERT_PTR_NULL (find_header (without, "X-Kv-Backup"));
  CU_ASSERT_PTR_NULL (find_header (without, "Kv-From"));
  hop.backup = &backup;
  hop.copy = &copy;
  request_format_get ()->write_request (&hop, &headers, with, &text);
  CU_ASSERT_STRING_EQUAL (find_header (with, "X-Kv-Backup"), "10.0.0.2:90");
  CU_ASSERT_STRING_EQUAL (find_header (with, "Kv-From"), "10.0.0.3:91/r1");
  evhttp_clear_headers (&headers);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_copies_are_named_by_the_gateway_alone),
                                       CU_TEST_INFO_NULL };

  return suite_run ("upstream_request", tests);
}
