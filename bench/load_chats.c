#include "load_chats.h"

#include <math.h>

#define TAKE_TRIES 64

struct lch
{
  const lop_t *options;
  GRand *rand;
  lch_chat_t *chats;
  double *cumulated; /* of the Zipf weights; NULL when uniform */
};

static const char *const words[] = { "bale",   "lot",     "claim",   "appeal",
                                     "colour", "council", "remnant", "household",
                                     "tax",    "review",  "notice",  "cutting",
                                     "grade",  "floor",   "letter",  "counter" };

static double *
cumulate (uint32_t count, double exponent)
{
  if (exponent <= 0)
    return NULL;
  double *cumulated = g_new (double, count);
  double sum = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      sum += pow (i + 1, -exponent);
      cumulated[i] = sum;
    }
  return cumulated;
}

static uint32_t
draw_index (const lch_t *lch)
{
  uint32_t count = lch->options->chats;
  if (lch->cumulated == NULL)
    return (uint32_t)g_rand_int_range (lch->rand, 0, (gint32)count);
  double value = g_rand_double (lch->rand) * lch->cumulated[count - 1];
  uint32_t low = 0;
  uint32_t high = count - 1;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (lch->cumulated[middle] < value)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static uint32_t
draw_account (const lch_t *lch)
{
  const lop_t *options = lch->options;
  double sum = 0;
  for (uint32_t i = 0; i < options->account_count; i++)
    sum += options->accounts[i].weight;
  double value = g_rand_double (lch->rand) * sum;
  for (uint32_t i = 0; i < options->account_count; i++)
    {
      value -= options->accounts[i].weight;
      if (value < 0)
        return i;
    }
  return options->account_count - 1;
}

static void
add_user_message (lch_t *lch, lch_chat_t *chat, uint32_t text_bytes)
{
  GString *messages = chat->messages;
  if (messages->len > 0)
    g_string_append_c (messages, ',');
  g_string_append_printf (messages, "{\"role\":\"user\",\"content\":\"chat %u turn %u.%u",
                          chat->index, chat->renewals, chat->turns);
  gsize start = messages->len;
  while (messages->len - start < text_bytes)
    g_string_append_printf (messages, " %s",
                            words[g_rand_int_range (lch->rand, 0, G_N_ELEMENTS (words))]);
  g_string_append (messages, "\"}");
}

static void
renew (lch_chat_t *chat)
{
  g_string_truncate (chat->messages, 0);
  chat->turns = 0;
  chat->reusable_tokens = 0;
  chat->renewals++;
}

lch_t *
lch_new (const lop_t *options, GRand *rand)
{
  lch_t *lch = g_new0 (lch_t, 1);
  lch->options = options;
  lch->rand = rand;
  lch->chats = g_new0 (lch_chat_t, options->chats);
  lch->cumulated = cumulate (options->chats, options->zipf);
  for (uint32_t i = 0; i < options->chats; i++)
    {
      lch_chat_t *chat = &lch->chats[i];
      chat->messages = g_string_new (NULL);
      chat->index = i;
      chat->account = draw_account (lch);
      chat->side = g_rand_double (rand) < options->direct_share ? LOP_DIRECT : LOP_FLEET;
    }
  return lch;
}

void
lch_free (lch_t *lch)
{
  if (lch == NULL)
    return;
  for (uint32_t i = 0; i < lch->options->chats; i++)
    g_string_free (lch->chats[i].messages, TRUE);
  g_free (lch->chats);
  g_free (lch->cumulated);
  g_free (lch);
}

lch_chat_t *
lch_take (lch_t *lch, uint64_t now_us)
{
  for (int i = 0; i < TAKE_TRIES; i++)
    {
      lch_chat_t *chat = &lch->chats[draw_index (lch)];
      if (chat->free_us > now_us)
        continue;
      if (chat->messages->len > lch->options->history_limit_bytes)
        renew (chat);
      add_user_message (lch, chat,
                        chat->turns == 0 ? lch->options->first_bytes : lch->options->turn_bytes);
      chat->free_us = G_MAXUINT64;
      return chat;
    }
  return NULL;
}

char *
lch_id (const lch_chat_t *chat)
{
  return g_strdup_printf ("chat-%u-%u", chat->index, chat->renewals);
}

GString *
lch_body (const lch_t *lch, const lch_chat_t *chat, uint32_t max_tokens, bool stream)
{
  GString *body = g_string_sized_new (chat->messages->len + 128);
  g_string_append_printf (body, "{\"model\":\"%s\",\"messages\":[", lch->options->model);
  g_string_append_len (body, chat->messages->str, (gssize)chat->messages->len);
  g_string_append_printf (body, "],\"max_tokens\":%u,\"stream\":%s}", max_tokens,
                          stream ? "true" : "false");
  return body;
}

void
lch_give (
    lch_t *lch, lch_chat_t *chat, uint64_t now_us, const char *answer, uint32_t reusable_tokens)
{
  double pause_us = (double)lch->options->pause_ms * 1000 * -log (1 - g_rand_double (lch->rand));
  chat->free_us = now_us + (uint64_t)pause_us;
  if (answer == NULL)
    {
      renew (chat);
      return;
    }
  g_string_append_printf (chat->messages, ",{\"role\":\"assistant\",\"content\":\"%s\"}", answer);
  chat->turns++;
  chat->reusable_tokens = reusable_tokens;
}
