/**
 * DOC: bootstrap
 *
 * How a gateway that starts gets the content of the platform's store: from a gateway that has it,
 * so that calls to the store don't grow with the number of starts, or from the store when no
 * gateway has it. The serving side is here too: how many starting gateways are served at once, and
 * where the others are referred to. Pure state machines.
 *
 * When a whole fleet starts for the first time, no requests arrive yet and no gateway has anything:
 * the gateways that the settings name as seeds read the store, and the others get the content from
 * each other. At any other start requests are waiting, so a peer that has nothing either is not
 * waited for.
 */
#ifndef REQUEST_POLICY_STORE_BOOTSTRAP_H
#define REQUEST_POLICY_STORE_BOOTSTRAP_H

#include "base/settings.h"

#include <stdbool.h>
#include <stdint.h>

/* A peer that has the content answers within this time, and one that lost power never does: after
 * it the store is read. */
#define BOOTSTRAP_TIMEOUT_US (UINT64_C (60) * 1000)
/* The same at the first start of a fleet, where no request waits. */
#define BOOTSTRAP_FIRST_START_TIMEOUT_US (UINT64_C (4000) * 1000)
/* Time between two questions to peers; it doubles with each question. */
#define BOOTSTRAP_RETRY_MIN_US (UINT64_C (50) * 1000)
#define BOOTSTRAP_RETRY_MAX_US (UINT64_C (400) * 1000)
/* After this many unanswered questions in a row the store is read. */
#define BOOTSTRAP_UNANSWERED_MAX 3

/* How many starting gateways one gateway serves in %BOOTSTRAP_TRANSFER_US. A registry of hundreds
 * of engines takes about 80 ms on a link of 20 Mbit/s. */
#define BOOTSTRAP_CONCURRENT_MAX 4
#define BOOTSTRAP_TRANSFER_US (UINT64_C (300) * 1000)
/* How many of the gateways served last are remembered to refer others to. */
#define BOOTSTRAP_REFERRALS 8

/** enum bootstrap_refusal - why a peer did not send the content */
typedef enum
{
  BOOTSTRAP_BUSY,      /* it is serving as many as it may */
  BOOTSTRAP_EMPTY,     /* it doesn't have the content yet */
  BOOTSTRAP_TOO_LARGE, /* the content is too large: the store has the bandwidth for it */
  BOOTSTRAP_NO_ANSWER  /* no answer, or an invalid one */
} bootstrap_refusal_t;

/**
 * struct bootstrap - a gateway that starts
 * @first_start: the whole fleet starts for the first time
 * @read_store: the store is to be read, whatever the time is
 * @unanswered: questions in a row without an answer
 * @deadline_us: from then on the store is read
 * @next_us: when the next peer may be asked
 * @wait_us: time from the next question to the one after it
 */
typedef struct
{
  bool first_start;
  bool read_store;
  uint32_t unanswered;
  uint64_t deadline_us;
  uint64_t next_us;
  uint64_t wait_us;
} bootstrap_t;

/**
 * bootstrap_init() - begins a start
 * @first_start: the whole fleet starts for the first time
 * @can_ask: the settings name a peer to ask, and this gateway is not a seed itself
 */
void bootstrap_init (bootstrap_t *bootstrap, uint64_t now_us, bool first_start, bool can_ask);
/** bootstrap_should_read_store() - whether to read the store from now on; peers are asked then only
 * if it fails */
bool bootstrap_should_read_store (const bootstrap_t *bootstrap, uint64_t now_us);
/** bootstrap_may_ask_peer() - whether a peer may be asked now; not to be called while a question is
 * open */
bool bootstrap_may_ask_peer (const bootstrap_t *bootstrap, uint64_t now_us);
/**
 * bootstrap_peer_refused() - a peer that was asked did not send the content
 * @elsewhere: it named another gateway that may have the content
 * @spread_milli: random, 0 to 1000, so that gateways that start together don't ask together
 */
void bootstrap_peer_refused (bootstrap_t *bootstrap,
                             uint64_t now_us,
                             bootstrap_refusal_t refusal,
                             bool elsewhere,
                             uint32_t spread_milli);

/**
 * struct bootstrap_server - a gateway that is asked
 * @served_us: ring of the times at which it sent the content last
 * @referrals: ring of the control addresses of the gateways it sent the content to last
 * @served: how often it sent the content
 */
typedef struct
{
  uint64_t served_us[BOOTSTRAP_CONCURRENT_MAX];
  address_t referrals[BOOTSTRAP_REFERRALS];
  uint32_t served;
} bootstrap_server_t;

/** bootstrap_server_may_serve() - whether one more gateway may be served now */
bool bootstrap_server_may_serve (const bootstrap_server_t *server, uint64_t now_us);
/** bootstrap_server_add_served() - the content is sent to the gateway with the control address
 * @asker */
void
bootstrap_server_add_served (bootstrap_server_t *server, uint64_t now_us, const address_t *asker);
/**
 * bootstrap_server_pick_referral() - picks one of the gateways that were served last
 * @draw: random number
 * @referral: set to its control address
 *
 * Return: false when none was served yet
 */
bool bootstrap_server_pick_referral (const bootstrap_server_t *server,
                                     uint32_t draw,
                                     address_t *referral);

#endif
