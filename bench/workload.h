/**
 * DOC: workload
 *
 * The callers of the benchmark: sessions arrive at random, a session is one request without a chat
 * or a chat whose turns come after pauses. All that a session does is drawn from its own seed, so
 * it does the same under every policy.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#define WKL_ACCOUNTS 10
#define WKL_CLASSES 5

/**
 * struct wkl_class - a class of requests
 * @share: of the sessions
 * @return_share: chance that a turn is followed by another one; 0 for a request without a chat
 * @long_pause_share: of the pauses that are ten times as long
 */
typedef struct
{
  const char *name;
  double share;
  uint32_t priority;
  uint32_t deadline_ms;
  bool idempotent;
  double opening_tokens;
  double turn_tokens;
  double output_tokens;
  double return_share;
  double pause_s;
  double long_pause_share;
} wkl_class_t;

/**
 * struct wkl - a workload and the engines that serve it
 * @sessions_s: that arrive in a second for each engine
 * @cache_tokens: prefix cache of one engine
 */
typedef struct
{
  const char *name;
  uint32_t slots;
  uint32_t bound_percent;
  uint32_t prefill_tokens_s;
  uint32_t token_us;
  uint32_t cache_lifetime_s;
  uint64_t cache_tokens;
  double sessions_s;
  uint32_t surging_account;
  double account_shares[WKL_ACCOUNTS];
  uint32_t account_weights[WKL_ACCOUNTS]; /* as a manifest sets them: large accounts have more */
  wkl_class_t classes[WKL_CLASSES];
} wkl_t;

/**
 * struct wkl_session
 * @context_tokens: what earlier turns left, the prefix of the next one
 * @last_engine, @last_incarnation: who served the last turn
 */
typedef struct
{
  uint64_t chat_hash;
  uint64_t random;
  uint32_t account;
  uint32_t class_index;
  uint32_t turn;
  uint32_t context_tokens;
  bool of_surge;
  uint32_t last_engine;
  uint64_t last_incarnation;
} wkl_session_t;

/** struct wkl_turn - one request of a session */
typedef struct
{
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool returns;
  uint64_t pause_us;
} wkl_turn_t;

/** wkl_find() - "tuul" or "jogak", else NULL */
const wkl_t *wkl_find (const char *name);
wkl_session_t *wkl_session_new (const wkl_t *workload, uint64_t seed, int32_t account);
wkl_turn_t wkl_turn (const wkl_t *workload, wkl_session_t *session);

#endif
