#include "load_chats.h"

#include <math.h>

#define MAX_DRAWS 64 /* of a random chat; bounds the search while most chats pause */

struct load_chats
{
  const load_options_t *options;
  GRand *rand;
  load_chats_chat_t *items;
  double *cumulative_weights; /* Zipf weights of the chats; NULL if the choice is uniform */
};

static const char *const words[] = { "bale",   "lot",     "claim",   "appeal",
                                     "colour", "council", "remnant", "household",
                                     "tax",    "review",  "notice",  "cutting",
                                     "grade",  "floor",   "letter",  "counter" };

static double *
cumulative_zipf_weights (uint32_t count, double exponent)
{
  if (exponent <= 0)
    return NULL;
  double *cumulative_weights = g_new (double, count);
  double sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      sum += pow (i + 1, -exponent);
      cumulative_weights[i] = sum;
    }
  return cumulative_weights;
}

static uint32_t
draw_index (const load_chats_t *chats)
{
  uint32_t count = chats->options->chats;
  if (chats->cumulative_weights == NULL)
    return (uint32_t)g_rand_int_range (chats->rand, 0, (gint32)count);
  double value = g_rand_double (chats->rand) * chats->cumulative_weights[count - 1];
  uint32_t low = 0;
  uint32_t high = count - 1;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (chats->cumulative_weights[middle] < value)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static uint32_t
draw_account (const load_chats_t *chats)
{
  const load_options_t *options = chats->options;
  double sum = 0;
  for (uint32_t i = 0; i < options->account_count; i++)
    sum += options->accounts[i].weight;
  double value = g_rand_double (chats->rand) * sum;
  for (uint32_t i = 0; i < options->account_count; i++)
    {
      value -= options->accounts[i].weight;
      if (value < 0)
        return i;
    }
  return options->account_count - 1;
}

static void
add_user_message (load_chats_t *chats, load_chats_chat_t *chat, uint32_t text_bytes)
{
  GString *messages = chat->messages;
  if (messages->len > 0)
    g_string_append_c (messages, ',');
  g_string_append_printf (messages, "{\"role\":\"user\",\"content\":\"chat %u turn %u.%u",
                          chat->index, chat->restarts, chat->turns);
  gsize start_bytes = messages->len;
  while (messages->len - start_bytes < text_bytes)
    g_string_append_printf (messages, " %s",
                            words[g_rand_int_range (chats->rand, 0, G_N_ELEMENTS (words))]);
  g_string_append (messages, "\"}");
}

static void
restart_chat (load_chats_chat_t *chat)
{
  g_string_truncate (chat->messages, 0);
  chat->turns = 0;
  chat->reusable_tokens = 0;
  chat->restarts++;
}

load_chats_t *
load_chats_new (const load_options_t *options, GRand *rand)
{
  load_chats_t *chats = g_new0 (load_chats_t, 1);
  chats->options = options;
  chats->rand = rand;
  chats->items = g_new0 (load_chats_chat_t, options->chats);
  chats->cumulative_weights = cumulative_zipf_weights (options->chats, options->zipf);
  for (uint32_t i = 0; i < options->chats; i++)
    {
      load_chats_chat_t *chat = &chats->items[i];
      chat->messages = g_string_new (NULL);
      chat->index = i;
      chat->account = draw_account (chats);
      chat->side =
          g_rand_double (rand) < options->direct_share ? LOAD_SIDE_ENGINES : LOAD_SIDE_ROUTERS;
    }
  return chats;
}

void
load_chats_free (load_chats_t *chats)
{
  if (chats == NULL)
    return;
  for (uint32_t i = 0; i < chats->options->chats; i++)
    g_string_free (chats->items[i].messages, TRUE);
  g_free (chats->items);
  g_free (chats->cumulative_weights);
  g_free (chats);
}

load_chats_chat_t *
load_chats_take (load_chats_t *chats, uint64_t now_us)
{
  for (int i = 0; i < MAX_DRAWS; i++)
    {
      load_chats_chat_t *chat = &chats->items[draw_index (chats)];
      if (chat->available_us > now_us)
        continue;
      if (chat->messages->len > chats->options->history_limit_bytes)
        restart_chat (chat);
      add_user_message (
          chats, chat, chat->turns == 0 ? chats->options->first_bytes : chats->options->turn_bytes);
      chat->available_us = G_MAXUINT64;
      return chat;
    }
  return NULL;
}

char *
load_chats_format_id (const load_chats_chat_t *chat)
{
  return g_strdup_printf ("chat-%u-%u", chat->index, chat->restarts);
}

GString *
load_chats_format_body (const load_chats_t *chats,
                        const load_chats_chat_t *chat,
                        uint32_t max_tokens,
                        bool stream)
{
  GString *body = g_string_sized_new (chat->messages->len + 128);
  g_string_append_printf (body, "{\"model\":\"%s\",\"messages\":[", chats->options->model);
  g_string_append_len (body, chat->messages->str, (gssize)chat->messages->len);
  g_string_append_printf (body, "],\"max_tokens\":%u,\"stream\":%s}", max_tokens,
                          stream ? "true" : "false");
  return body;
}

void
load_chats_end_turn (load_chats_t *chats,
                     load_chats_chat_t *chat,
                     uint64_t now_us,
                     const char *answer,
                     uint32_t reusable_tokens)
{
  double pause_us =
      (double)chats->options->pause_ms * 1000 * -log (1 - g_rand_double (chats->rand));
  chat->available_us = now_us + (uint64_t)pause_us;
  if (answer == NULL)
    {
      restart_chat (chat);
      return;
    }
  g_string_append_printf (chat->messages, ",{\"role\":\"assistant\",\"content\":\"%s\"}", answer);
  chat->turns++;
  chat->reusable_tokens = reusable_tokens;
}
