#include "process/control_private.h"

#include "process/log.h"
#include "request/place.h"

#define PLATFORM_BYTES_S 400    /* of the budget, for reading the list and the log */
#define MESSAGES_PER_INTERVAL 2 /* one call, and on average one reply */
#define BASE_BYTES 200 /* of a message without samples, with headers and now and then a word */
#define SAMPLE_BYTES 32

static mem_word_t
own_word (ctrl_t *ctrl)
{
  mem_word_t word = {
    .host_hash = ctrl->own_hash,
    .incarnation = ctrl->dmn->incarnation,
    .sequence = ++ctrl->talk.sequence,
    .state = ctrl->stop.leaving ? MEM_LEAVING : MEM_LIVE,
  };
  return word;
}

static xch_word
to_wire (const mem_word_t *word)
{
  xch_word out = {
    .host_hash = word->host_hash,
    .incarnation = word->incarnation,
    .sequence = word->sequence,
    .state = word->state,
  };
  return out;
}

/* Return: false for a state that is none. */
static bool
from_wire (const xch_word *word, mem_word_t *out)
{
  if (word->state > MEM_GONE)
    return false;
  out->host_hash = word->host_hash;
  out->incarnation = word->incarnation;
  out->sequence = word->sequence;
  out->state = word->state;
  return true;
}

static void
put_sample (xch_message *message, uint64_t now_us, const mean_sample_t *sample)
{
  xch_sample *out = &message->samples.samples_val[message->samples.samples_len++];
  out->engine_hash = sample->engine_hash;
  out->service_hash = sample->service_hash;
  out->load = sample->load;
  out->waiting = sample->waiting;
  out->cost = sample->cost;
  out->age_ms = (uint32_t)((now_us - MIN (now_us, sample->taken_us)) / CLK_US_PER_MS);
}

/*
 * How many samples a message carries, so that the usual traffic stays within nine tenths of the
 * byte budget. A message that is held back costs more than one that says less.
 */
static uint32_t
samples_per_message (const set_t *set)
{
  uint64_t budget_bytes = MAX (set->control_budget_bytes, PLATFORM_BYTES_S) - PLATFORM_BYTES_S;
  uint64_t interval_bytes = budget_bytes * set->exchange_interval_ms / 1000 * 9 / 10;
  uint64_t message_bytes = interval_bytes / MESSAGES_PER_INTERVAL;
  if (message_bytes < BASE_BYTES + SAMPLE_BYTES)
    return 1;
  return (uint32_t)MIN ((message_bytes - BASE_BYTES) / SAMPLE_BYTES, XCH_SAMPLES);
}

static void
put_picked (xch_message *message, uint64_t now_us, mean_table_t *table, uint32_t up_to)
{
  mean_sample_t picked[XCH_SAMPLES];
  if (message->samples.samples_len >= up_to)
    return;
  uint32_t count = mean_pick (table, now_us, picked, up_to - message->samples.samples_len);
  for (uint32_t i = 0; i < count; i++)
    put_sample (message, now_us, &picked[i]);
}

static mean_table_t *
table_of (const ctrl_t *ctrl, uint64_t service_hash)
{
  return g_hash_table_lookup (ctrl->talk.means, &service_hash);
}

static mean_table_t *
random_table (ctrl_t *ctrl)
{
  guint count = g_hash_table_size (ctrl->talk.means);
  if (count == 0)
    return NULL;
  gint32 skip = g_rand_int_range (ctrl->rand, 0, (gint32)count);
  GHashTableIter iter;
  gpointer table;
  g_hash_table_iter_init (&iter, ctrl->talk.means);
  while (g_hash_table_iter_next (&iter, NULL, &table))
    {
      if (skip-- == 0)
        break;
    }
  return table;
}

static bool
has_fresh_own_sample (const ctrl_t *ctrl, uint64_t now_us)
{
  const ctrl_talk_t *talk = &ctrl->talk;
  return talk->has_own_sample && talk->own_sample.taken_us + LIM_SAMPLE_AGE_US >= now_us;
}

/* A sidecar tells of its own engine first, then of its own service, and leaves a quarter for
 * another service; a router tells of two services. */
static void
fill_samples (ctrl_t *ctrl, xch_message *message, uint64_t now_us)
{
  uint32_t room = samples_per_message (&ctrl->dmn->set);
  mean_table_t *first = NULL;
  if (has_fresh_own_sample (ctrl, now_us))
    {
      put_sample (message, now_us, &ctrl->talk.own_sample);
      first = table_of (ctrl, ctrl->talk.own_sample.service_hash);
    }
  else
    {
      first = random_table (ctrl);
    }
  if (first == NULL)
    return;
  mean_table_t *second = random_table (ctrl);
  put_picked (message, now_us, first, second == first ? room : room - room / 4);
  if (second != first)
    put_picked (message, now_us, second, room);
}

/*
 * What the asker does not know of itself: that the platform's list, or a later incarnation, has
 * said that it leaves. It may have been paused meanwhile, and the list may be out by now.
 */
static void
fill_words (ctrl_t *ctrl, xch_message *message, const xch_word *to)
{
  mem_word_t words[XCH_WORDS];
  uint32_t count = 0;
  mem_word_t last;
  if (to != NULL && mem_said_leaving (ctrl->mem, to->host_hash, to->incarnation))
    words[count++] = (mem_word_t){ to->host_hash, to->incarnation, to->sequence, MEM_LEAVING };
  else if (to != NULL && mem_word (ctrl->mem, to->host_hash, &last) &&
           last.incarnation > to->incarnation)
    words[count++] = last;
  count += rmr_take_words (&ctrl->talk.rumours, words + count, XCH_WORDS - count);
  for (uint32_t i = 0; i < count; i++)
    message->words.words_val[i] = to_wire (&words[i]);
  message->words.words_len = count;
}

static void
fill_marks (ctrl_t *ctrl, xch_message *message, uint64_t now_us)
{
  sus_mark_t marks[XCH_MARKS];
  uint32_t count = rmr_take_marks (&ctrl->talk.rumours, now_us, marks, XCH_MARKS);
  for (uint32_t i = 0; i < count; i++)
    {
      xch_mark *out = &message->marks.marks_val[i];
      out->fingerprint = marks[i].fingerprint;
      out->engines[0] = marks[i].engines[0];
      out->engines[1] = marks[i].engines[1];
      out->age_ms = marks[i].age_ms;
    }
  message->marks.marks_len = count;
}

/*
 * Two processes bear this host's name, or the clock went back between two starts of it: the later
 * start has the lower incarnation, and peers would not hear it. Only an operator can mend it.
 */
static void
hear_own_word (ctrl_t *ctrl, const mem_word_t *word)
{
  if (word->incarnation > ctrl->dmn->incarnation)
    log_event (LOG_LEVEL_ERROR, "higher_incarnation_of_own_name", "own",
               LOG_U64 (ctrl->dmn->incarnation), "heard", LOG_U64 (word->incarnation), NULL);
  else if (word->incarnation == ctrl->dmn->incarnation && word->state != MEM_LIVE)
    ctrl_stop_leave (ctrl, "peer");
}

static void
hear_word (ctrl_t *ctrl, const xch_word *heard)
{
  mem_word_t word;
  if (!from_wire (heard, &word))
    return;
  if (word.host_hash == ctrl->own_hash)
    hear_own_word (ctrl, &word);
  else if (mem_hear (ctrl->mem, ctrl_now_us (ctrl), &word))
    rmr_add_word (&ctrl->talk.rumours, &word);
}

/* Return: false for a sample that does not count here. */
static bool
take_sample (ctrl_t *ctrl, uint64_t now_us, const xch_sample *heard, mean_sample_t *out)
{
  uint64_t age_us = (uint64_t)heard->age_ms * CLK_US_PER_MS;
  mean_table_t *table = table_of (ctrl, heard->service_hash);
  if (age_us > LIM_SAMPLE_AGE_US || age_us > now_us || table == NULL ||
      heard->engine_hash == ctrl->own_hash ||
      mem_find_hash (ctrl->peers.members, heard->engine_hash) == NULL)
    return false;
  out->engine_hash = heard->engine_hash;
  out->service_hash = heard->service_hash;
  out->load = heard->load;
  out->waiting = heard->waiting;
  out->cost = heard->cost;
  out->taken_us = now_us - age_us;
  mean_add (table, out);
  return true;
}

static void
hear_samples (ctrl_t *ctrl, const xch_message *message)
{
  uint64_t now_us = ctrl_now_us (ctrl);
  msg_samples_t *samples = msg_new (MSG_SAMPLES);
  for (uint32_t i = 0; i < message->samples.samples_len; i++)
    {
      if (take_sample (ctrl, now_us, &message->samples.samples_val[i],
                       &samples->samples[samples->count]))
        samples->count++;
    }
  if (samples->count > 0)
    ctrl_send (ctrl, samples);
  else
    samples->head.free (&samples->head);
}

static void
hear_marks (ctrl_t *ctrl, const xch_message *message)
{
  msg_marks_t *marks = msg_new (MSG_MARKS);
  for (uint32_t i = 0; i < message->marks.marks_len; i++)
    {
      const xch_mark *heard = &message->marks.marks_val[i];
      sus_mark_t mark = {
        .fingerprint = heard->fingerprint,
        .engines = { heard->engines[0], heard->engines[1] },
        .age_ms = heard->age_ms,
      };
      if (rmr_add_mark (&ctrl->talk.rumours, ctrl_now_us (ctrl), &mark))
        marks->marks[marks->count++] = mark;
    }
  if (marks->count > 0)
    ctrl_send (ctrl, marks);
  else
    marks->head.free (&marks->head);
}

/* Whether the sender is a listed host and this message was sent after all that was heard of it. */
static bool
is_news (ctrl_t *ctrl, const mem_word_t *sender)
{
  if (ctrl->peers.members == NULL || sender->host_hash == ctrl->own_hash ||
      mem_find_hash (ctrl->peers.members, sender->host_hash) == NULL)
    {
      cnt_add (ctrl->talk.unlisted, 1);
      return false;
    }
  mem_word_t last;
  if (!mem_word (ctrl->mem, sender->host_hash, &last))
    return true;
  bool newer = sender->incarnation > last.incarnation ||
               (sender->incarnation == last.incarnation && sender->sequence > last.sequence);
  if (!newer)
    cnt_add (ctrl->talk.old_messages, 1);
  return newer;
}

static void
take_message (ctrl_t *ctrl, const mem_word_t *sender, const xch_message *message)
{
  if (mem_hear (ctrl->mem, ctrl_now_us (ctrl), sender))
    rmr_add_word (&ctrl->talk.rumours, sender);
  for (uint32_t i = 0; i < message->words.words_len; i++)
    hear_word (ctrl, &message->words.words_val[i]);
  ctrl_members_flush (ctrl);
  hear_samples (ctrl, message);
  hear_marks (ctrl, message);
  ctrl_manifest_heard (ctrl, message->manifest_version, sender->host_hash);
}

/* An older incarnation of a host is still answered: it hears so that it is not the last one. */
static bool
is_older_incarnation (const ctrl_t *ctrl, const mem_word_t *sender)
{
  mem_word_t last;
  return mem_word (ctrl->mem, sender->host_hash, &last) && sender->incarnation < last.incarnation;
}

static uint64_t *
hash_key (uint64_t hash)
{
  uint64_t *key = g_new (uint64_t, 1);
  *key = hash;
  return key;
}

static gboolean
is_out_of_force (gpointer key, gpointer value, gpointer data)
{
  const man_t *man = data;
  (void)value;
  for (uint32_t i = 0; i < man->service_count; i++)
    {
      if (man->services[i].hash == *(const uint64_t *)key)
        return FALSE;
    }
  return TRUE;
}

void
ctrl_talk_init (ctrl_t *ctrl)
{
  ctrl_talk_t *talk = &ctrl->talk;
  rmr_init (&talk->rumours);
  talk->means = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  talk->old_messages = cnt_get (ctrl->dmn->counters, "medlarplank_control_old_total",
                                "Messages dropped as a later one of their sender was heard before");
  talk->unlisted = cnt_get (ctrl->dmn->counters, "medlarplank_control_unlisted_total",
                            "Messages dropped as their sender is not a listed host");
}

void
ctrl_talk_clear (ctrl_t *ctrl)
{
  g_hash_table_destroy (ctrl->talk.means);
}

void
ctrl_talk_fill (xch_message *message, const xch_word *to, void *context)
{
  ctrl_t *ctrl = context;
  uint64_t now_us = ctrl_now_us (ctrl);
  mem_word_t own = own_word (ctrl);
  message->sender = to_wire (&own);
  message->manifest_version = ctrl_manifest_version (ctrl);
  message->manifest_offset = rep_next_offset (ctrl->manifest.rep);
  fill_samples (ctrl, message, now_us);
  fill_words (ctrl, message, to);
  fill_marks (ctrl, message, now_us);
}

bool
ctrl_talk_heard (const xch_message *message, bool is_reply, void *context)
{
  ctrl_t *ctrl = context;
  mem_word_t sender;
  uint64_t woke_us = ctrl->fresh.pse.woke_us;
  ctrl_fresh_check (ctrl);
  /* It waited in the socket during the pause: nothing tells how old it is. */
  if (ctrl->fresh.pse.woke_us != woke_us || !from_wire (&message->sender, &sender))
    return false;
  if (!is_news (ctrl, &sender))
    return is_older_incarnation (ctrl, &sender);
  take_message (ctrl, &sender, message);
  if (is_reply)
    ctrl_fresh_heard_reply (ctrl, message->manifest_version);
  return true;
}

bool
ctrl_talk_pick (set_address_t *peer, void *context)
{
  ctrl_t *ctrl = context;
  ctrl_fresh_check (ctrl);
  const mem_host_t *host = ctrl_peer_near (ctrl);
  if (host == NULL)
    return false;
  *peer = host->exchange;
  return true;
}

void
ctrl_talk_tell (ctrl_t *ctrl, uint32_t count)
{
  g_autoptr (GArray) peers = g_array_copy (ctrl->peers.all);
  count = MIN (count, peers->len);
  for (uint32_t i = 0; i < count; i++)
    {
      /* Not the same one twice: in a small fleet that would leave others untold. */
      guint at = (guint)g_rand_int_range (ctrl->rand, 0, (gint32)peers->len);
      uint32_t index = g_array_index (peers, uint32_t, at);
      g_array_remove_index_fast (peers, at);
      exc_now (ctrl->exc, &ctrl->peers.members->hosts[index].exchange);
    }
}

void
ctrl_talk_own_word (ctrl_t *ctrl)
{
  mem_word_t word = own_word (ctrl);
  mem_hear (ctrl->mem, ctrl_now_us (ctrl), &word);
  ctrl_members_flush (ctrl);
}

void
ctrl_talk_version (ctrl_t *ctrl)
{
  man_t *man = rep_manifest (ctrl->manifest.rep);
  GHashTable *means = ctrl->talk.means;
  g_hash_table_foreach_remove (means, is_out_of_force, man);
  for (uint32_t i = 0; i < man->service_count; i++)
    {
      uint64_t hash = man->services[i].hash;
      if (table_of (ctrl, hash) != NULL)
        continue;
      mean_table_t *table = g_new (mean_table_t, 1);
      mean_init (table, hash ^ ctrl->own_hash);
      g_hash_table_insert (means, hash_key (hash), table);
    }
}

void
ctrl_talk_own_sample (ctrl_t *ctrl, const msg_samples_t *message)
{
  if (message->count == 0)
    return;
  ctrl->talk.has_own_sample = true;
  ctrl->talk.own_sample = message->samples[0];
}

void
ctrl_talk_own_marks (ctrl_t *ctrl, const msg_marks_t *message)
{
  for (uint32_t i = 0; i < message->count; i++)
    rmr_add_mark (&ctrl->talk.rumours, ctrl_now_us (ctrl), &message->marks[i]);
}
