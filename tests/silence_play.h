/**
 * DOC: silence_play
 *
 * Plays silences of upstreams under a steady load of all kinds of requests, and checks each answer.
 * A play may publish configurations all the while, and its callers may keep their connections.
 */
#ifndef TESTS_SILENCE_PLAY_H
#define TESTS_SILENCE_PLAY_H

#include "silence_request.h"

#define SILENCE_PLAY_CONNECTIONS 24 /* that callers keep */

/** struct silence - Upstreams that are silent; times after the start of the play. */
typedef struct
{
  uint32_t at_ms;
  uint32_t length_ms;
  uint32_t set;
} silence_t;

/**
 * struct silence_play_options - What is played.
 * @changes: Whether configurations are published all the while.
 * @keeps: Whether callers keep their connections, instead of the steady load.
 * @lapses: Whether the store drops the entries of silent upstreams, so that new requests may be
 *   refused.
 * @is_dark: Whether silent upstreams take no new connections.
 */
typedef struct
{
  const char *name;
  const silence_t *silences;
  uint32_t silence_count;
  bool changes;
  bool keeps;
  bool lapses;
  bool is_dark;
} silence_play_options_t;

/** struct silence_connection - A caller that keeps its connection. */
typedef struct
{
  silence_request_t *request;
  uint64_t due_us;
} silence_connection_t;

/**
 * struct silence_play - A play.
 * @number: Number of the play on its rig.
 * @requests: All its requests, as silence_request_t.
 * @idle_ms: Idle timeout of the newest configuration.
 * @closed_idle: Kept connections that were closed before they were used again.
 */
typedef struct
{
  silence_rig_t *rig;
  silence_play_options_t options;
  uint32_t number;
  GPtrArray *requests;
  silence_connection_t connections[SILENCE_PLAY_CONNECTIONS];
  uint32_t idle_ms;
  uint32_t closed_idle;
  uint32_t published;
  uint64_t start_us;
  uint64_t next_batch_us;
  uint64_t next_change_us;
} silence_play_t;

/** silence_play_run() - Play, once the fleet serves all kinds, until all requests have ended. */
void silence_play_run (silence_play_t *play);
/** silence_play_check() - Check the answers, when no request can run any more, and free the
 * requests; @runs is from silence_rig_count_runs(). */
void silence_play_check (silence_play_t *play, GHashTable *runs);

#endif
