#include "request/router/chat_body.h"
#include "request/decision.h"
#include "request/policy/digests/digest.h"
#include "request/error_reply.h"
#include "request/header_filter.h"
#include "request/policy/digests/call_seal.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

static const char *
parse (chat_body_t *chat_body, const char *text)
{
  return chat_body_parse (chat_body, text, strlen (text));
}

static void
reads_a_chat (void)
{
  static const char FIRST[] = "{\"model\":\"m\",\"max_tokens\":9,\"messages\":["
                              "{\"role\":\"system\",\"content\":\"s\"},"
                              "{\"role\":\"user\",\"content\":\"hello\"}]}";
  static const char LATER[] = "{\"model\":\"m\",\"messages\":["
                              "{\"role\":\"system\",\"content\":\"s\"},"
                              "{\"role\":\"user\",\"content\":\"hello\"},"
                              "{\"role\":\"assistant\",\"content\":\"hi\"},"
                              "{\"role\":\"user\",\"content\":\"more\"}]}";
  chat_body_t first;
  chat_body_t later;

  CU_ASSERT_PTR_NULL (parse (&first, FIRST));
  CU_ASSERT_PTR_NULL (parse (&later, LATER));
  CU_ASSERT_STRING_EQUAL (first.model, "m");
  CU_ASSERT_EQUAL (first.max_tokens, 9);
  CU_ASSERT_FALSE (first.returning);
  CU_ASSERT_TRUE (later.returning);
  CU_ASSERT_STRING_EQUAL (first.opening, later.opening);
  chat_body_clear (&first);
  chat_body_clear (&later);
}

static void
rejects_malformed_chats (void)
{
  static const char *const MALFORMED[] = { "",
                                           "[]",
                                           "{\"model\":\"m\"}",
                                           "{\"model\":1,\"messages\":[{}]}",
                                           "{\"model\":\"m\",\"messages\":[]}",
                                           "{\"model\":\"m\",\"model\":\"n\",\"messages\":[{}]}" };
  chat_body_t chat_body;

  for (uint32_t i = 0; i < G_N_ELEMENTS (MALFORMED); i++)
    CU_ASSERT_PTR_NOT_NULL (parse (&chat_body, MALFORMED[i]));
}

/* The JSON parser recurses for each bracket, so a body of brackets alone could exhaust the stack.
 * It must be rejected before it is parsed; brackets within strings don't count. */
static void
rejects_deeply_nested_chats (void)
{
  g_autofree char *deep = g_strnfill (100000, '[');
  g_autofree char *text = g_strnfill (1000, '[');
  g_autofree char *fine = g_strdup_printf (
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\\\"%s\"}]}", text);
  chat_body_t chat_body;

  CU_ASSERT_STRING_EQUAL (parse (&chat_body, deep), "the body is nested too deeply");
  CU_ASSERT_PTR_NULL (parse (&chat_body, fine));
  chat_body_clear (&chat_body);
}

/* Guards against client accounts that share a claim or a crash mark: two accounts use the same
 * idempotency key, or one picks a name and key whose concatenation equals another account's. */
static void
digests_differ_between_accounts (void)
{
  uint64_t a[2];
  uint64_t b[2];

  digest_idempotency_key ("tuul", "order-1", a);
  digest_idempotency_key ("jogak", "order-1", b);
  CU_ASSERT_NOT_EQUAL (a[0], b[0]);
  digest_idempotency_key ("tuu", "lorder-1", b);
  CU_ASSERT_NOT_EQUAL (a[0], b[0]);
  CU_ASSERT_NOT_EQUAL (digest_request ("GET", "/a", "b", 1), digest_request ("GET", "/ab", "", 0));
  CU_ASSERT_NOT_EQUAL (digest_fingerprint ("tuul", 1), digest_fingerprint ("jogak", 1));
}

static void
drops_connection_and_fleet_headers (void)
{
  static const char *const DROPPED[] = {
    "X-HTTP-Method-Override", "x-original-url", "connection",
    "Transfer-Encoding",      "Host",           "upgrade",
    "Authorization",          "X-Api-Key",      "X-Medlarplank-Home",
    "x-request-id",           "X-Priority"
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (DROPPED); i++)
    CU_ASSERT_FALSE (header_is_forwarded (DROPPED[i]));
  CU_ASSERT_TRUE (header_is_forwarded ("Content-Type"));
  CU_ASSERT_TRUE (header_is_returned ("X-Cached-Tokens"));
  CU_ASSERT_FALSE (header_is_returned ("X-Medlarplank-Verdict"));
  CU_ASSERT_FALSE (header_is_returned ("Content-Length"));
}

static void
errors_carry_the_verdict (void)
{
  g_autofree char *body = error_reply_body (&(error_reply_t){
      .verdict = VERDICT_NOT_RUN, .reason = VERDICT_REASON_DEADLINE, .request = "ab" });

  CU_ASSERT_STRING_EQUAL (body, "{\"error\":{\"message\":\"the request could not start before its "
                                "deadline\",\"type\":\"overloaded_error\",\"code\":\"deadline\","
                                "\"verdict\":\"not_run\",\"request\":\"ab\"}}");
  CU_ASSERT_EQUAL (error_reply_status (VERDICT_REASON_CUT, VERDICT_MAY_HAVE_RUN), 502);
  CU_ASSERT_EQUAL (error_reply_status (VERDICT_REASON_CUT, VERDICT_NOT_RUN), 503);
}

static void
seals_orders (void)
{
  sealed_call_t order = {
    .host = "h", .method = "POST", .target = "/t", .body = "b", .body_bytes = 1
  };
  sealed_call_t other = order;
  char seal[CALL_SEAL_BYTES];

  call_seal_compute (&order, "key", seal);
  CU_ASSERT_TRUE (call_seal_verify (&order, "key", seal));
  CU_ASSERT_FALSE (call_seal_verify (&order, "another", seal));
  CU_ASSERT_FALSE (call_seal_verify (&order, "key", NULL));
  other.host = "i";
  CU_ASSERT_FALSE (call_seal_verify (&other, "key", seal));
  other = order;
  other.body = "c";
  CU_ASSERT_FALSE (call_seal_verify (&other, "key", seal));
}

static void
finds_decisions_on_a_request (void)
{
  decision_ring_t *ring = decision_ring_new (3);
  decision_t decision = { .request = { 1, 0x100 }, .action = "send", .chosen = "e1" };
  uint64_t wanted[2] = { 1, 0x100 };
  json_t *found;

  decision_ring_record (ring, "route", &decision);
  decision.request[1] = 0x101; /* the second hop of the same request */
  decision_ring_record (ring, "route", &decision);
  decision.request[1] = 0x200;
  decision_ring_record (ring, "route", &decision);
  found = decision_ring_find (ring, wanted);
  CU_ASSERT_EQUAL (json_array_size (found), 2);
  json_decref (found);
  decision_ring_record (ring, "route", &decision); /* overwrites the oldest decision */
  found = decision_ring_find (ring, wanted);
  CU_ASSERT_EQUAL (json_array_size (found), 1);
  json_decref (found);
  decision_ring_free (ring);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "reads a chat", reads_a_chat },
    { "rejects malformed chats", rejects_malformed_chats },
    { "rejects deeply nested chats", rejects_deeply_nested_chats },
    { "digests differ between accounts", digests_differ_between_accounts },
    { "drops connection and fleet headers", drops_connection_and_fleet_headers },
    { "errors carry the verdict", errors_carry_the_verdict },
    { "seals orders", seals_orders },
    { "finds decisions on a request", finds_decisions_on_a_request },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("request parts", tests);
}
