/**
 * DOC: load_chats
 *
 * The chats of the load tool. Each chat belongs to a client account, grows by a turn with every
 * answer, and pauses before its next request.
 */
#ifndef BENCH_LOAD_CHATS_H
#define BENCH_LOAD_CHATS_H

#include "load_options.h"

#include <glib.h>

/**
 * struct lch_chat - one chat
 * @messages: its history: the elements of the JSON array "messages", without the brackets
 * @account: index of its account in the options
 * @turns: answered turns since its last restart
 * @restarts: how often it was started again with an empty history, part of its id
 * @reusable_tokens: prompt and answer tokens of the last turn, which an engine may have cached
 * @available_us: when its pause ends; G_MAXUINT64 while a request is in flight
 * @side: whether its requests go through the routers or straight to an engine
 */
typedef struct
{
  GString *messages;
  uint32_t index;
  uint32_t account;
  uint32_t turns;
  uint32_t restarts;
  uint32_t reusable_tokens;
  uint64_t available_us;
  lop_side_t side;
} lch_chat_t;

typedef struct lch lch_t;

/** lch_new() - @options and @rand must outlive it */
lch_t *lch_new (const lop_t *options, GRand *rand);
void lch_free (lch_t *chats);
/** lch_take() - a random chat that is not paused, with a new user message; NULL if none is found */
lch_chat_t *lch_take (lch_t *chats, uint64_t now_us);
/** lch_id() - the chat's id, to be freed by g_free() */
char *lch_id (const lch_chat_t *chat);
/** lch_body() - the JSON body of the chat's next request, to be freed by g_string_free() */
GString *lch_body (const lch_t *chats, const lch_chat_t *chat, uint32_t max_tokens, bool stream);
/**
 * lch_give() - ends the turn of a chat that lch_take() returned, and starts its pause
 * @answer: the answer's text, which is added to the history; NULL if the request failed, and the
 *   chat starts again with an empty history
 * @reusable_tokens: prompt and answer tokens of this turn
 */
void lch_give (
    lch_t *chats, lch_chat_t *chat, uint64_t now_us, const char *answer, uint32_t reusable_tokens);

#endif
