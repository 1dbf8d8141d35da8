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
 * struct load_chats_chat - one chat
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
  load_side_t side;
} load_chats_chat_t;

typedef struct load_chats load_chats_t;

/** load_chats_new() - @options and @rand must outlive it */
load_chats_t *load_chats_new (const load_options_t *options, GRand *rand);
void load_chats_free (load_chats_t *chats);
/** load_chats_take() - a random chat that is not paused, with a new user message; NULL if none is
 * found */
load_chats_chat_t *load_chats_take (load_chats_t *chats, uint64_t now_us);
/** load_chats_format_id() - the chat's id, to be freed by g_free() */
char *load_chats_format_id (const load_chats_chat_t *chat);
/** load_chats_format_body() - the JSON body of the chat's next request, to be freed by
 * g_string_free() */
GString *load_chats_format_body (const load_chats_t *chats,
                                 const load_chats_chat_t *chat,
                                 uint32_t max_tokens,
                                 bool stream);
/**
 * load_chats_end_turn() - ends the turn of a chat that load_chats_take() returned, and starts its
 * pause
 * @answer: the answer's text, which is added to the history; NULL if the request failed, and the
 *   chat starts again with an empty history
 * @reusable_tokens: prompt and answer tokens of this turn
 */
void load_chats_end_turn (load_chats_t *chats,
                          load_chats_chat_t *chat,
                          uint64_t now_us,
                          const char *answer,
                          uint32_t reusable_tokens);

#endif
