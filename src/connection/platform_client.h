/**
 * DOC: platform_client
 *
 * HTTP client of the adapters of platforms, independent of a platform's format. A call ends with
 * one response of bounded size, or with the information whether anything was sent. The adapter that
 * made the call interprets the response.
 */
#ifndef CONNECTION_PLATFORM_CLIENT_H
#define CONNECTION_PLATFORM_CLIENT_H

#include "connection/http_client.h"
#include "base/settings.h"

typedef struct platform_client platform_client_t;

/**
 * struct platform_client_answer - result of a call; valid until the callback returns
 * @status: HTTP status; 0 when no complete response arrived
 * @not_sent: no byte of the request was sent, so the call had no effect
 * @body: not NUL-terminated
 */
typedef struct
{
  int status;
  bool not_sent;
  struct evkeyvalq *headers;
  const char *body;
  size_t body_bytes;
} platform_client_answer_t;

/** platform_client_done_t - receives the result of a call; must free @context if that is allocated
 */
typedef void (*platform_client_done_t) (const platform_client_answer_t *answer, void *context);

/**
 * struct platform_client_request - parameters of a call
 * @target: path and query; copied, like @body
 * @content_type: NULL for none
 * @timeout_ms: limit on the duration of the call
 * @answer_limit_bytes: a longer response body counts as incomplete
 * @on_dropped: called instead of @done when platform_client_free() drops the call
 */
typedef struct
{
  const char *method;
  const char *target;
  const char *body;
  size_t body_bytes;
  const char *content_type;
  uint32_t timeout_ms;
  size_t answer_limit_bytes;
  platform_client_done_t done;
  void (*on_dropped) (void *context);
  void *context;
} platform_client_request_t;

/** platform_client_new() - create a client; @reader_name is sent as the header X-Reader, NULL for
 * none */
platform_client_t *
platform_client_new (struct event_base *base, const address_t *address, const char *reader_name);
/** platform_client_free() - drop all pending calls and free; must not be called from within a
 * callback */
void platform_client_free (platform_client_t *platform_client);
/** platform_client_start() - send a request; its callback never runs from within this function */
void platform_client_start (platform_client_t *platform_client,
                            const platform_client_request_t *request);

#endif
