/**
 * DOC: workload
 *
 * Request workload of the simulation. Sessions arrive at random; a session is a single request
 * without a chat, or a chat with several turns and pauses between them. Everything in a session is
 * drawn from the session's own seed, so that it is the same under every policy.
 */
#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <stdbool.h>
#include <stdint.h>

#define WORKLOAD_ACCOUNTS 10
#define WORKLOAD_CLASSES 5

/**
 * struct workload_class - a request class
 * @share: fraction of the sessions that are of this class
 * @opening_tokens, @turn_tokens: median prompt tokens of the first turn, and added by each later
 *   one
 * @output_tokens: median tokens of an answer
 * @return_share: probability that another turn follows a turn; 0 for requests without a chat
 * @pause_s: mean pause between an answer and the next turn
 * @long_pause_share: fraction of the pauses that are ten times as long
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
} workload_class_t;

/**
 * struct workload - a workload and the parameters of its engines
 * @slots: requests that an engine runs at once
 * @bound_percent: load bound of an engine in percent of the mean load
 * @prefill_tokens_s: uncached prompt tokens that an engine processes in a second
 * @token_us: time for each output token
 * @cache_lifetime_s: how long routers expect an unused prefix to stay in a cache
 * @cache_tokens: capacity of one engine's prefix cache
 * @sessions_s: new sessions in a second for each engine
 * @surging_account: index of the account that surges under that fault
 * @account_shares: fraction of the sessions of each account
 * @account_weights: fair-queue weights as in a manifest; large accounts have larger ones
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
  double account_shares[WORKLOAD_ACCOUNTS];
  uint32_t account_weights[WORKLOAD_ACCOUNTS];
  workload_class_t classes[WORKLOAD_CLASSES];
} workload_t;

/**
 * struct workload_session - a session and its state between two turns
 * @random: state of its random stream
 * @turn: turns that have ended
 * @context_tokens: prompt and answer of the earlier turns, the prefix of the next prompt
 * @of_surge: whether it belongs to the extra load of a surge
 * @last_engine, @last_incarnation: engine (index) that served the last turn
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
} workload_session_t;

/**
 * struct workload_turn - one request of a session
 * @returns: whether another turn follows
 * @pause_us: time from the answer to the next turn
 */
typedef struct
{
  uint32_t prompt_tokens;
  uint32_t output_tokens;
  bool returns;
  uint64_t pause_us;
} workload_turn_t;

/** workload_find() - the workload "tuul" or "jogak", else NULL */
const workload_t *workload_find (const char *name);
/** workload_session_new() - a session of account @account, or of a random one if it is negative */
workload_session_t *
workload_session_new (const workload_t *workload, uint64_t seed, int32_t account);
/** workload_draw_turn() - draws the next turn of @session */
workload_turn_t workload_draw_turn (const workload_t *workload, workload_session_t *session);

#endif
