#include "request/policy/fairq.h"

#define PRUNE_MIN_ACCOUNTS 64 /* accounts known before idle ones are dropped */

/**
 * struct account - a client account with queued requests, or one that was served lately
 * @hash: key in fq.accounts
 * @finish: virtual time up to which it has been served
 * @key: sort key in fq.active
 * @cost: cost of its queued requests
 * @level_cost: the same for each priority level
 * @passed: cost of the requests of higher levels served while the level had queued ones
 * @levels: its queued requests, a list for each priority level
 * @place: its position in fq.active, NULL if it has no queued requests
 * @count: number of its queued requests
 * @weight: in thousandths
 */
typedef struct
{
  uint64_t hash;
  uint64_t finish;
  uint64_t key;
  uint64_t cost;
  uint64_t level_cost[FQ_BANDS];
  uint64_t passed[FQ_BANDS];
  GQueue levels[FQ_BANDS];
  GSequenceIter *place;
  uint32_t count;
  uint32_t weight;
} account_t;

/* Virtual time is measured in cost at weight one. */
struct fq
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
level_of (const fq_item_t *item)
{
  return item->priority < FQ_BANDS ? item->priority : FQ_BANDS - 1;
}

static uint64_t
virtual_cost (uint64_t cost, uint32_t weight)
{
  if (weight == 0)
    weight = 1;
  return (cost + 1) * FQ_WEIGHT_ONE / weight;
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
  const uint64_t one = ((const fq_item_t *)a)->deadline_us;
  const uint64_t two = ((const fq_item_t *)b)->deadline_us;
  return one < two ? -1 : one > two;
}

static account_t *
find_account (const fq_t *fq, uint64_t hash)
{
  return g_hash_table_lookup (fq->accounts, &hash);
}

static account_t *
find_or_add_account (fq_t *fq, const fq_item_t *item)
{
  account_t *account = find_account (fq, item->account_hash);
  if (account == NULL)
    {
      account = g_new0 (account_t, 1);
      account->hash = item->account_hash;
      for (uint32_t level = 0; level < FQ_BANDS; level++)
        g_queue_init (&account->levels[level]);
      g_hash_table_insert (fq->accounts, &account->hash, account);
    }
  account->weight = item->weight;
  return account;
}

/* Return: virtual start time of the account's next request. An account with queued requests
 * continues where it was served up to; another one starts at most its credit before the present. */
static uint64_t
virtual_start (const fq_t *fq, const account_t *account)
{
  const uint64_t earliest = fq->virtual_now > fq->credit ? fq->virtual_now - fq->credit : 0;
  if (account == NULL)
    return earliest;
  return account->place != NULL ? account->finish : MAX (account->finish, earliest);
}

/* Return: the highest priority level with queued requests, unless enough cost was served before a
 * lower one */
static uint32_t
next_level (const account_t *account)
{
  uint32_t first = FQ_BANDS;
  for (uint32_t level = 0; level < FQ_BANDS; level++)
    {
      if (account->levels[level].length == 0)
        continue;
      if (first == FQ_BANDS)
        first = level;
      else if (account->passed[level] > (uint64_t)(level - first) * FQ_HEAD_START)
        return level;
    }
  return first;
}

static fq_item_t *
next_item (const account_t *account)
{
  return account->levels[next_level (account)].head->data;
}

static uint32_t
precedence_of (const fq_item_t *item)
{
  return item->has_precedence ? MIN (item->precedence, FQ_BANDS - 1) : level_of (item);
}

static uint64_t
sort_key (uint64_t start, const fq_item_t *item)
{
  return start + (uint64_t)precedence_of (item) * FQ_HEAD_START;
}

/* Updates the account's position in fq.active after its requests or times have changed. */
static void
update_position (fq_t *fq, account_t *account)
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
      account->finish = virtual_start (fq, account);
      account->key = sort_key (account->finish, next_item (account));
      account->place = g_sequence_insert_sorted (fq->active, account, by_key, NULL);
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
  const fq_t *fq = context;
  return account->count == 0 && account->finish + fq->credit <= fq->virtual_now;
}

static void
prune (fq_t *fq)
{
  if (g_hash_table_size (fq->accounts) <= fq->prune_at)
    return;
  g_hash_table_foreach_remove (fq->accounts, is_idle, fq);
  fq->prune_at = 2 * g_hash_table_size (fq->accounts) + PRUNE_MIN_ACCOUNTS;
}

static void
charge (fq_t *fq, account_t *account, uint32_t cost)
{
  const uint64_t start = virtual_start (fq, account);
  account->finish = start + virtual_cost (cost, account->weight);
  fq->virtual_now = MAX (fq->virtual_now, start);
}

static void
remove_item (fq_t *fq, account_t *account, fq_item_t *item)
{
  const uint32_t level = level_of (item);
  g_queue_unlink (&account->levels[level], &item->link);
  account->count--;
  account->cost -= item->cost;
  account->level_cost[level] -= item->cost;
  fq->count--;
  if (item->expiry != NULL)
    g_sequence_remove (item->expiry);
  item->expiry = NULL;
}

static void
count_passed_over (account_t *account, const fq_item_t *served)
{
  const uint32_t served_level = level_of (served);
  account->passed[served_level] = 0;
  for (uint32_t level = served_level + 1; level < FQ_BANDS; level++)
    account->passed[level] =
        account->levels[level].length > 0 ? account->passed[level] + served->cost + 1 : 0;
}

/* Return: cost of @other's requests that is served before a new request with @key */
static uint64_t
cost_before_key (const account_t *other, uint64_t key)
{
  if (other->key > key)
    return 0;
  const uint64_t until_key = (key - other->key) * other->weight / FQ_WEIGHT_ONE;
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

fq_t *
fq_new (uint32_t total_limit)
{
  fq_t *fq = g_new0 (fq_t, 1);
  fq->accounts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  fq->active = g_sequence_new (NULL);
  fq->deadlines = g_sequence_new (NULL);
  fq->limit = total_limit;
  fq->prune_at = PRUNE_MIN_ACCOUNTS;
  return fq;
}

void
fq_free (fq_t *fq)
{
  if (fq == NULL)
    return;
  g_sequence_free (fq->active);
  g_sequence_free (fq->deadlines);
  g_hash_table_destroy (fq->accounts);
  g_free (fq);
}

void
fq_set_credit (fq_t *fq, uint64_t credit)
{
  fq->credit = credit;
}

fq_outcome_t
fq_push (fq_t *fq, fq_item_t *item)
{
  if (fq->count >= fq->limit)
    return FQ_FULL;
  const account_t *known = find_account (fq, item->account_hash);
  if (known != NULL && known->count >= item->queue_limit)
    return FQ_ACCOUNT_FULL;
  if (item->queue_limit == 0)
    return FQ_ACCOUNT_FULL;
  account_t *account = find_or_add_account (fq, item);
  const uint32_t level = level_of (item);
  item->link = (GList){ .data = item };
  g_queue_push_tail_link (&account->levels[level], &item->link);
  account->count++;
  account->cost += item->cost;
  account->level_cost[level] += item->cost;
  fq->count++;
  item->expiry = NULL;
  if (item->deadline_us != 0)
    item->expiry = g_sequence_insert_sorted (fq->deadlines, item, by_deadline, NULL);
  update_position (fq, account);
  return FQ_QUEUED;
}

fq_item_t *
fq_pop (fq_t *fq)
{
  return fq_pop_allowed (fq, NULL, NULL);
}

fq_item_t *
fq_peek_allowed (const fq_t *fq, fq_may_t may, void *context)
{
  GSequenceIter *at = g_sequence_get_begin_iter (fq->active);
  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      fq_item_t *item = next_item (g_sequence_get (at));
      if (may == NULL || may (item, context))
        return item;
    }
  return NULL;
}

fq_item_t *
fq_pop_allowed (fq_t *fq, fq_may_t may, void *context)
{
  fq_item_t *item = fq_peek_allowed (fq, may, context);
  if (item == NULL)
    return NULL;
  account_t *account = find_account (fq, item->account_hash);
  remove_item (fq, account, item);
  count_passed_over (account, item);
  charge (fq, account, item->cost);
  update_position (fq, account);
  prune (fq);
  return item;
}

bool
fq_goes_before (const fq_t *fq, const fq_item_t *item, const fq_item_t *waiting)
{
  const account_t *account = find_account (fq, item->account_hash);
  const account_t *other = find_account (fq, waiting->account_hash);
  if (account == other)
    return level_of (item) < level_of (waiting);
  return sort_key (virtual_start (fq, account), item) < other->key;
}

fq_item_t *
fq_expired (fq_t *fq, uint64_t now_us)
{
  GSequenceIter *first = g_sequence_get_begin_iter (fq->deadlines);
  if (g_sequence_iter_is_end (first))
    return NULL;
  fq_item_t *item = g_sequence_get (first);
  if (item->deadline_us > now_us)
    return NULL;
  fq_remove (fq, item);
  return item;
}

fq_item_t *
fq_any (fq_t *fq)
{
  fq_item_t *item = fq_peek_allowed (fq, NULL, NULL);
  if (item != NULL)
    fq_remove (fq, item);
  return item;
}

void
fq_remove (fq_t *fq, fq_item_t *item)
{
  account_t *account = find_account (fq, item->account_hash);
  g_assert (account != NULL && account->count > 0);
  remove_item (fq, account, item);
  update_position (fq, account);
}

bool
fq_is_behind (const fq_t *fq, const fq_item_t *item)
{
  return virtual_start (fq, find_account (fq, item->account_hash)) <= fq->virtual_now;
}

bool
fq_has_credit (const fq_t *fq, const fq_item_t *item)
{
  return virtual_start (fq, find_account (fq, item->account_hash)) + fq->credit / 2 <=
         fq->virtual_now;
}

uint32_t
fq_count (const fq_t *fq)
{
  return fq->count;
}

uint32_t
fq_account_count (const fq_t *fq)
{
  return g_hash_table_size (fq->accounts);
}

fq_ahead_t
fq_ahead (const fq_t *fq, const fq_item_t *item)
{
  const account_t *own = find_account (fq, item->account_hash);
  const uint32_t level = level_of (item);
  fq_ahead_t ahead = { 0 };
  for (uint32_t i = 0; own != NULL && i <= level; i++)
    {
      ahead.cost += own->level_cost[i];
      ahead.count += own->levels[i].length;
    }
  const uint64_t own_ahead = ahead.count > 0 ? virtual_cost (ahead.cost, item->weight) : 0;
  const uint64_t key = sort_key (virtual_start (fq, own) + own_ahead, item);
  GSequenceIter *at = g_sequence_get_begin_iter (fq->active);
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
fq_cost_ahead (const fq_t *fq, const fq_item_t *item)
{
  return fq_ahead (fq, item).cost;
}

void
fq_served (fq_t *fq, const fq_item_t *item)
{
  account_t *account = find_or_add_account (fq, item);
  const uint32_t known = MIN (g_hash_table_size (fq->accounts), PRUNE_MIN_ACCOUNTS);
  charge (fq, account, item->cost);
  /* While no request is queued, virtual time advances as if all known accounts were served equally.
   * Otherwise accounts that never have queued requests would be remembered for ever. */
  if (fq->count == 0)
    fq->virtual_now += virtual_cost (item->cost, item->weight) / (known + 1);
  if (account->count > 0)
    update_position (fq, account);
  prune (fq);
}

void
fq_took (fq_t *fq, const fq_item_t *item, uint64_t cost)
{
  account_t *account;

  if (cost <= item->cost)
    return;
  account = find_or_add_account (fq, item);
  account->finish += virtual_cost (MIN (cost - item->cost, UINT32_MAX), account->weight);
  if (account->count > 0)
    update_position (fq, account);
}
