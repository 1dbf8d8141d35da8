#include "request/policy/queueing/fair_queue.h"

#define PRUNE_MIN_ACCOUNTS 64 /* accounts known before idle ones are dropped */

/**
 * struct account - a client account with queued requests, or one that was served lately
 * @hash: key in fair_queue.accounts
 * @finish: virtual time up to which it has been served
 * @key: sort key in fair_queue.active
 * @cost: cost of its queued requests
 * @level_cost: the same for each priority level
 * @passed: cost of the requests of higher levels served while the level had queued ones
 * @levels: its queued requests, a list for each priority level
 * @place: its position in fair_queue.active, NULL if it has no queued requests
 * @count: number of its queued requests
 * @weight: in thousandths
 */
typedef struct
{
  uint64_t hash;
  uint64_t finish;
  uint64_t key;
  uint64_t cost;
  uint64_t level_cost[FAIR_QUEUE_LEVELS];
  uint64_t passed[FAIR_QUEUE_LEVELS];
  GQueue levels[FAIR_QUEUE_LEVELS];
  GSequenceIter *place;
  uint32_t count;
  uint32_t weight;
} account_t;

/* Virtual time is measured in cost at weight one. */
struct fair_queue
{
  GHashTable *accounts; /* hash -> account_t */
  GSequence *active;    /* accounts with queued requests, sorted by key */
  GSequence *deadlines; /* requests with a deadline, sorted by it */
  uint64_t virtual_now; /* virtual start time of the request served last */
  uint64_t credit;      /* maximum credit of an account */
  uint32_t prune_at;    /* number of known accounts above which idle ones are dropped */
  uint32_t count;       /* queued requests */
  uint32_t limit;       /* maximum of @count */
};

static uint32_t
level_of (const fair_queue_item_t *item)
{
  return item->priority < FAIR_QUEUE_LEVELS ? item->priority : FAIR_QUEUE_LEVELS - 1;
}

static uint64_t
virtual_cost (uint64_t cost, uint32_t weight)
{
  if (weight == 0)
    weight = 1;
  return (cost + 1) * FAIR_QUEUE_WEIGHT_ONE / weight;
}

static int
by_key (const void *a, const void *b, void *context)
{
  (void)context;
  const account_t *one = a;
  const account_t *two = b;
  if (one->key != two->key)
    return one->key < two->key ? -1 : 1;
  return 0;
}

static int
by_deadline (const void *a, const void *b, void *context)
{
  (void)context;
  const uint64_t one = ((const fair_queue_item_t *)a)->deadline_us;
  const uint64_t two = ((const fair_queue_item_t *)b)->deadline_us;
  return one < two ? -1 : one > two;
}

static account_t *
find_account (const fair_queue_t *fair_queue, uint64_t hash)
{
  return g_hash_table_lookup (fair_queue->accounts, &hash);
}

static account_t *
find_or_add_account (fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  account_t *account = find_account (fair_queue, item->account_hash);
  if (account == NULL)
    {
      account = g_new0 (account_t, 1);
      account->hash = item->account_hash;
      for (uint32_t level = 0; level < FAIR_QUEUE_LEVELS; level++)
        g_queue_init (&account->levels[level]);
      g_hash_table_insert (fair_queue->accounts, &account->hash, account);
    }
  account->weight = item->weight;
  return account;
}

/* Return: virtual start time of the account's next request. An account with queued requests
 * continues where it was served up to; another one starts at most its credit before the present. */
static uint64_t
virtual_start (const fair_queue_t *fair_queue, const account_t *account)
{
  const uint64_t earliest = fair_queue->virtual_now > fair_queue->credit
                                ? fair_queue->virtual_now - fair_queue->credit
                                : 0;
  if (account == NULL)
    return earliest;
  return account->place != NULL ? account->finish : MAX (account->finish, earliest);
}

/* Return: the highest priority level with queued requests, unless enough cost was served before a
 * lower one */
static uint32_t
next_level (const account_t *account)
{
  uint32_t first = FAIR_QUEUE_LEVELS;
  for (uint32_t level = 0; level < FAIR_QUEUE_LEVELS; level++)
    {
      if (account->levels[level].length == 0)
        continue;
      if (first == FAIR_QUEUE_LEVELS)
        first = level;
      else if (account->passed[level] > (uint64_t)(level - first) * FAIR_QUEUE_PRIORITY_COST)
        return level;
    }
  return first;
}

static fair_queue_item_t *
next_item (const account_t *account)
{
  return account->levels[next_level (account)].head->data;
}

static uint32_t
precedence_of (const fair_queue_item_t *item)
{
  return item->has_precedence ? MIN (item->precedence, FAIR_QUEUE_LEVELS - 1) : level_of (item);
}

static uint64_t
sort_key (uint64_t start, const fair_queue_item_t *item)
{
  return start + (uint64_t)precedence_of (item) * FAIR_QUEUE_PRIORITY_COST;
}

/* Updates the account's position in fair_queue.active after its requests or times have changed. */
static void
update_position (fair_queue_t *fair_queue, account_t *account)
{
  if (account->count == 0)
    {
      if (account->place != NULL)
        g_sequence_remove (account->place);
      account->place = NULL;
      return;
    }
  if (account->place == NULL)
    {
      account->finish = virtual_start (fair_queue, account);
      account->key = sort_key (account->finish, next_item (account));
      account->place = g_sequence_insert_sorted (fair_queue->active, account, by_key, NULL);
      return;
    }
  account->key = sort_key (account->finish, next_item (account));
  g_sequence_sort_changed (account->place, by_key, NULL);
}

/* Return: whether the account is the same as a new one, so that it needn't be remembered */
static gboolean
is_idle (void *key, void *value, void *context)
{
  (void)key;
  const account_t *account = value;
  const fair_queue_t *fair_queue = context;
  return account->count == 0 && account->finish + fair_queue->credit <= fair_queue->virtual_now;
}

static void
prune (fair_queue_t *fair_queue)
{
  if (g_hash_table_size (fair_queue->accounts) <= fair_queue->prune_at)
    return;
  g_hash_table_foreach_remove (fair_queue->accounts, is_idle, fair_queue);
  fair_queue->prune_at = 2 * g_hash_table_size (fair_queue->accounts) + PRUNE_MIN_ACCOUNTS;
}

static void
charge (fair_queue_t *fair_queue, account_t *account, uint32_t cost)
{
  const uint64_t start = virtual_start (fair_queue, account);
  account->finish = start + virtual_cost (cost, account->weight);
  fair_queue->virtual_now = MAX (fair_queue->virtual_now, start);
}

static void
remove_item (fair_queue_t *fair_queue, account_t *account, fair_queue_item_t *item)
{
  const uint32_t level = level_of (item);
  g_queue_unlink (&account->levels[level], &item->link);
  account->count--;
  account->cost -= item->cost;
  account->level_cost[level] -= item->cost;
  fair_queue->count--;
  if (item->expiry != NULL)
    g_sequence_remove (item->expiry);
  item->expiry = NULL;
}

static void
count_passed_over (account_t *account, const fair_queue_item_t *served)
{
  const uint32_t served_level = level_of (served);
  account->passed[served_level] = 0;
  for (uint32_t level = served_level + 1; level < FAIR_QUEUE_LEVELS; level++)
    account->passed[level] =
        account->levels[level].length > 0 ? account->passed[level] + served->cost + 1 : 0;
}

/* Return: cost of @other's requests that is served before a new request with @key */
static uint64_t
cost_before_key (const account_t *other, uint64_t key)
{
  if (other->key > key)
    return 0;
  const uint64_t until_key = (key - other->key) * other->weight / FAIR_QUEUE_WEIGHT_ONE;
  const uint64_t head = next_item (other)->cost;
  return MIN (other->cost, until_key + head);
}

static uint32_t
count_of_cost (const account_t *account, uint64_t cost)
{
  const uint64_t total = account->cost + 1;
  const uint64_t count = (cost * account->count + total / 2) / total;
  return (uint32_t)MAX (count, 1);
}

fair_queue_t *
fair_queue_new (uint32_t total_limit)
{
  fair_queue_t *fair_queue = g_new0 (fair_queue_t, 1);
  fair_queue->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  fair_queue->active = g_sequence_new (NULL);
  fair_queue->deadlines = g_sequence_new (NULL);
  fair_queue->limit = total_limit;
  fair_queue->prune_at = PRUNE_MIN_ACCOUNTS;
  return fair_queue;
}

void
fair_queue_free (fair_queue_t *fair_queue)
{
  if (fair_queue == NULL)
    return;
  g_sequence_free (fair_queue->active);
  g_sequence_free (fair_queue->deadlines);
  g_hash_table_destroy (fair_queue->accounts);
  g_free (fair_queue);
}

void
fair_queue_set_credit (fair_queue_t *fair_queue, uint64_t credit)
{
  fair_queue->credit = credit;
}

fair_queue_outcome_t
fair_queue_push (fair_queue_t *fair_queue, fair_queue_item_t *item)
{
  if (fair_queue->count >= fair_queue->limit)
    return FAIR_QUEUE_FULL;
  const account_t *known = find_account (fair_queue, item->account_hash);
  if (known != NULL && known->count >= item->queue_limit)
    return FAIR_QUEUE_ACCOUNT_FULL;
  if (item->queue_limit == 0)
    return FAIR_QUEUE_ACCOUNT_FULL;
  account_t *account = find_or_add_account (fair_queue, item);
  const uint32_t level = level_of (item);
  item->link = (GList){ .data = item };
  g_queue_push_tail_link (&account->levels[level], &item->link);
  account->count++;
  account->cost += item->cost;
  account->level_cost[level] += item->cost;
  fair_queue->count++;
  item->expiry = NULL;
  if (item->deadline_us != 0)
    item->expiry = g_sequence_insert_sorted (fair_queue->deadlines, item, by_deadline, NULL);
  update_position (fair_queue, account);
  return FAIR_QUEUE_QUEUED;
}

fair_queue_item_t *
fair_queue_pop (fair_queue_t *fair_queue)
{
  return fair_queue_pop_allowed (fair_queue, NULL, NULL);
}

fair_queue_item_t *
fair_queue_peek_allowed (const fair_queue_t *fair_queue, fair_queue_may_serve_t may, void *context)
{
  GSequenceIter *at = g_sequence_get_begin_iter (fair_queue->active);
  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      fair_queue_item_t *item = next_item (g_sequence_get (at));
      if (may == NULL || may (item, context))
        return item;
    }
  return NULL;
}

fair_queue_item_t *
fair_queue_pop_allowed (fair_queue_t *fair_queue, fair_queue_may_serve_t may, void *context)
{
  fair_queue_item_t *item = fair_queue_peek_allowed (fair_queue, may, context);
  if (item == NULL)
    return NULL;
  account_t *account = find_account (fair_queue, item->account_hash);
  remove_item (fair_queue, account, item);
  count_passed_over (account, item);
  charge (fair_queue, account, item->cost);
  update_position (fair_queue, account);
  prune (fair_queue);
  return item;
}

bool
fair_queue_goes_before (const fair_queue_t *fair_queue,
                        const fair_queue_item_t *item,
                        const fair_queue_item_t *waiting)
{
  const account_t *account = find_account (fair_queue, item->account_hash);
  const account_t *other = find_account (fair_queue, waiting->account_hash);
  if (account == other)
    return level_of (item) < level_of (waiting);
  return sort_key (virtual_start (fair_queue, account), item) < other->key;
}

fair_queue_item_t *
fair_queue_pop_expired (fair_queue_t *fair_queue, uint64_t now_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fair_queue->deadlines);
  if (g_sequence_iter_is_end (first))
    return NULL;
  fair_queue_item_t *item = g_sequence_get (first);
  if (item->deadline_us > now_us)
    return NULL;
  fair_queue_remove (fair_queue, item);
  return item;
}

fair_queue_item_t *
fair_queue_pop_any (fair_queue_t *fair_queue)
{
  fair_queue_item_t *item = fair_queue_peek_allowed (fair_queue, NULL, NULL);
  if (item != NULL)
    fair_queue_remove (fair_queue, item);
  return item;
}

void
fair_queue_remove (fair_queue_t *fair_queue, fair_queue_item_t *item)
{
  account_t *account = find_account (fair_queue, item->account_hash);
  g_assert (account != NULL && account->count > 0);
  remove_item (fair_queue, account, item);
  update_position (fair_queue, account);
}

bool
fair_queue_is_behind (const fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  return virtual_start (fair_queue, find_account (fair_queue, item->account_hash)) <=
         fair_queue->virtual_now;
}

bool
fair_queue_has_credit (const fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  return virtual_start (fair_queue, find_account (fair_queue, item->account_hash)) +
             fair_queue->credit / 2 <=
         fair_queue->virtual_now;
}

uint32_t
fair_queue_count (const fair_queue_t *fair_queue)
{
  return fair_queue->count;
}

uint32_t
fair_queue_account_count (const fair_queue_t *fair_queue)
{
  return g_hash_table_size (fair_queue->accounts);
}

fair_queue_ahead_t
fair_queue_ahead (const fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  const account_t *own = find_account (fair_queue, item->account_hash);
  const uint32_t level = level_of (item);
  fair_queue_ahead_t ahead = { 0 };
  for (uint32_t i = 0; own != NULL && i <= level; i++)
    {
      ahead.cost += own->level_cost[i];
      ahead.count += own->levels[i].length;
    }
  const uint64_t own_ahead = ahead.count > 0 ? virtual_cost (ahead.cost, item->weight) : 0;
  const uint64_t key = sort_key (virtual_start (fair_queue, own) + own_ahead, item);
  GSequenceIter *at = g_sequence_get_begin_iter (fair_queue->active);
  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      const account_t *other = g_sequence_get (at);
      if (other == own)
        continue;
      const uint64_t cost = cost_before_key (other, key);
      if (cost == 0 && other->key > key)
        break;
      ahead.cost += cost;
      ahead.count += count_of_cost (other, cost);
    }
  return ahead;
}

uint64_t
fair_queue_cost_ahead (const fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  return fair_queue_ahead (fair_queue, item).cost;
}

void
fair_queue_charge (fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  account_t *account = find_or_add_account (fair_queue, item);
  const uint32_t known = MIN (g_hash_table_size (fair_queue->accounts), PRUNE_MIN_ACCOUNTS);
  charge (fair_queue, account, item->cost);
  /* While no request is queued, virtual time advances as if all known accounts were served equally.
   * Otherwise accounts that never have queued requests would be remembered for ever. */
  if (fair_queue->count == 0)
    fair_queue->virtual_now += virtual_cost (item->cost, item->weight) / (known + 1);
  if (account->count > 0)
    update_position (fair_queue, account);
  prune (fair_queue);
}

void
fair_queue_charge_excess (fair_queue_t *fair_queue, const fair_queue_item_t *item, uint64_t cost)
{
  account_t *account;

  if (cost <= item->cost)
    return;
  account = find_or_add_account (fair_queue, item);
  account->finish += virtual_cost (MIN (cost - item->cost, UINT32_MAX), account->weight);
  if (account->count > 0)
    update_position (fair_queue, account);
}
