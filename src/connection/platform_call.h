/**
 * DOC: platform_call
 *
 * Calls to the platform over HTTP, whatever its format: one answer of bounded size, or how far the
 * call got. What the answer means is left to the adapter that made the call.
 */
#ifndef CONNECTION_PLATFORM_CALL_H
#define CONNECTION_PLATFORM_CALL_H

#include "connection/http_client.h"
#include "base/settings.h"

typedef struct pcl pcl_t;

/**
 * struct pcl_answer - how a call ended
 * @status: 0 when no whole answer came
 * @not_sent: nothing left for the platform, so the call took no effect
 * @body: valid until the callback returns; not NUL-terminated
 */
typedef struct
{
  int status;
  bool not_sent;
  struct evkeyvalq *headers;
  const char *body;
  size_t body_bytes;
} pcl_answer_t;

/** pcl_done_t - frees @context too, if it is to be freed */
typedef void (*pcl_done_t) (const pcl_answer_t *answer, void *context);

/**
 * struct pcl_request - a call
 * @target: path and query; copied, as is @body
 * @content_type: NULL for none
 * @timeout_ms: for the whole call
 * @dropped: called in place of @done when the calls are dropped by pcl_free()
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
  pcl_done_t done;
  void (*dropped) (void *context);
  void *context;
} pcl_request_t;

/** pcl_new() - @reader_name is sent as the header X-Reader; NULL for none */
pcl_t *pcl_new (struct event_base *base, const set_address_t *address, const char *reader_name);
/** pcl_free() - drops the calls that are not answered; not from within an answer */
void pcl_free (pcl_t *pcl);
void pcl_start (pcl_t *pcl, const pcl_request_t *request);

#endif
