/**
 * DOC: load_answer
 *
 * Reads the answers of stand-in engines and checks that they are the caller's own: each names the
 * hash of the body that it answers.
 */
#ifndef BENCH_LOAD_ANSWER_H
#define BENCH_LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  LAN_OWN,    /* whole and the caller's own */
  LAN_OTHERS, /* names another body */
  LAN_BROKEN  /* cut, or not an answer at all */
} lan_verdict_t;

/** struct lan - an answer; @text is to be freed by g_free() */
typedef struct
{
  lan_verdict_t verdict;
  char *text;
  uint64_t prompt_tokens;
  uint64_t completion_tokens;
  uint64_t cached_tokens;
} lan_t;

typedef enum
{
  LAN_CHAT,
  LAN_STREAM,
  LAN_PLAIN
} lan_kind_t;

/** lan_error_code() - the code in an error's body, or NULL; to be freed by g_free() */
char *lan_error_code (const GString *answer);

lan_t lan_read (lan_kind_t kind, const GString *answer, uint64_t body_hash);

#endif
