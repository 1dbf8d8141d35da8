/**
 * DOC: gateway_fetch
 *
 * Fetches from another gateway the records of the platform's store that it has read, one request at
 * a time, and answers such requests. An answer is authenticated with the fleet key and the
 * requester's nonce.
 */
#ifndef PROCESS_GATEWAY_FETCH_H
#define PROCESS_GATEWAY_FETCH_H

#include "connection/http_server.h"
#include "base/settings.h"
#include "base/clock.h"
#include "request/policy/store/bootstrap.h"
#include "version/view_share.h"

#include <event2/event.h>

#define GATEWAY_FETCH_STREAMS_MAX 4
/* a link of 10 Mbit/s transfers a version of 350 KB in 0.3 s */
#define GATEWAY_FETCH_TIMEOUT_MS 1000

/**
 * struct gateway_fetch_result - result of a fetch
 * @peer: control address of the gateway that was asked
 * @body: the answer, valid during the callback; NULL unless it is complete and authentic
 * @store_age_ms: time between the peer's last contact with the store and its answer; only for
 *   gateway_fetch_all(), else UINT32_MAX
 * @reason: why there is no @body; NULL when there is one
 * @refusal: for gateway_fetch_all() without a @body, how the peer refused
 * @referral: control address of a gateway that the refusing peer names instead; its port is 0 for
 *   none
 */
typedef struct
{
  const address_t *peer;
  const char *body;
  size_t body_bytes;
  uint32_t store_age_ms;
  const char *reason;
  bootstrap_refusal_t refusal;
  address_t referral;
} gateway_fetch_result_t;

/**
 * struct gateway_fetch_responder - state of the gateway that answers a request
 * @settled: whether no key that was removed lately may still be restored
 * @complete: whether all streams have been read here
 * @too_large: whether all records together exceed what may be sent to a starting gateway that may
 *   read the store
 * @store_age_ms: time since the last contact with the store
 * @referral: a gateway that may have all records as well; its port is 0 for none
 */
typedef struct
{
  bool settled;
  bool complete;
  bool too_large;
  uint32_t store_age_ms;
  address_t referral;
} gateway_fetch_responder_t;

/**
 * struct gateway_fetch_options - options of gateway_fetch_new()
 * @control_address: where this gateway answers such requests itself
 * @on_finished: a fetch ended; the callback may start the next one
 */
typedef struct
{
  struct event_base *base;
  const clock_source_t *clock;
  const char *fleet_key;
  const address_t *control_address;
  void (*on_finished) (const gateway_fetch_result_t *result, void *context);
  void *context;
} gateway_fetch_options_t;

typedef struct gateway_fetch gateway_fetch_t;

gateway_fetch_t *gateway_fetch_new (const gateway_fetch_options_t *options);
/** gateway_fetch_free() - cancels a fetch in progress, without a callback */
void gateway_fetch_free (gateway_fetch_t *fetch);
/** gateway_fetch_is_busy() - whether a fetch is in progress */
bool gateway_fetch_is_busy (const gateway_fetch_t *fetch);
/**
 * gateway_fetch_newer() - fetches the records that the gateway at @peer has beyond the next offset
 * of each stream; only when not busy
 * @any_size: also updates that are too large to be sent normally, since the store cannot be read
 */
void gateway_fetch_newer (gateway_fetch_t *fetch,
                          const address_t *peer,
                          const view_share_stream_t *streams,
                          uint32_t count,
                          bool any_size);
/**
 * gateway_fetch_all() - fetches all records of the gateway at @peer, for a starting gateway; only
 * when not busy. A peer refuses it while it serves several others
 * @any_size: also if they are too large to be sent normally, since the store cannot be read
 */
void gateway_fetch_all (gateway_fetch_t *fetch,
                        const address_t *peer,
                        const view_share_stream_t *streams,
                        uint32_t count,
                        bool any_size);
/**
 * gateway_fetch_handle_request() - answers a request on the control listener
 *
 * Return: false, without an answer, when the path is not that of gateway_fetch_newer() and
 * gateway_fetch_all()
 */
bool gateway_fetch_handle_request (gateway_fetch_t *fetch,
                                   http_server_call_t *call,
                                   const view_share_stream_t *streams,
                                   uint32_t count,
                                   const gateway_fetch_responder_t *state);

#endif
