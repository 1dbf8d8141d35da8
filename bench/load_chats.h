/**
 * DOC: load_chats
 *
 * The chats of the load tool: each belongs to a client account, grows by a turn with every answer,
 * pauses, and returns.
 */
#ifndef BENCH_LOAD_CHATS_H
#define BENCH_LOAD_CHATS_H

#include "load_options.h"

#include <glib.h>

/**
 * struct lch_chat - one chat
 * @messages: its history as the inner JSON of "messages"
 * @reusable_tokens: prompt and answer of the last turn: what may still be cached
 * @renewals: how often it started anew, part of its id
 */
typedef struct
{
  GString *messages;
  uint32_t index;
  uint32_t account;
  uint32_t turns;
  uint32_t renewals;
  uint32_t reusable_tokens;
  uint64_t free_us; /* its pause is over then; G_MAXUINT64 while a request is out */
  lop_side_t side;
} lch_chat_t;

typedef struct lch lch_t;

lch_t *lch_new (const lop_t *options, GRand *rand);
void lch_free (lch_t *lch);
/** lch_take() - a chat whose pause is over, with a new message of its user, or NULL */
lch_chat_t *lch_take (lch_t *lch, uint64_t now_us);
/** lch_id() - its id, to be freed by g_free() */
char *lch_id (const lch_chat_t *chat);
/** lch_body() - the body of its next request */
GString *lch_body (const lch_t *lch, const lch_chat_t *chat, uint32_t max_tokens, bool stream);
/** lch_give() - the answer came, or NULL: the turn failed and its message is taken back */
void lch_give (
    lch_t *lch, lch_chat_t *chat, uint64_t now_us, const char *answer, uint32_t reusable_tokens);

#endif
