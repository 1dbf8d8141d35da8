#include "request/policy/room/room_share.h"

#include <glib.h>

#define MILLI 1000
#define STEP_DOWN_MAX_MILLI 400 /* by which one report reduces the share */
#define STEP_UP_MAX_MILLI 250   /* by which one report raises it */
#define FULL_QUEUE_MILLI (3 * ROOM_SHARE_TARGET_MILLI)
#define LEVEL_ROUNDS 8 /* rounds in which the common level of the accounts is found */

/** struct account_count - requests of an account, in thousandths of a request, as of @at_us */
typedef struct
{
  uint64_t account;
  uint64_t count_milli;
} account_count_t;

/**
 * struct room_share - the share of one service at one gateway
 * @milli: the share, in thousandths
 * @reported_us: time of the last report; 0 before
 * @decayed_us: the time to which the counts are decayed
 */
struct room_share
{
  uint32_t milli;
  uint64_t reported_us;
  uint64_t decayed_us;
  account_count_t accounts[ROOM_SHARE_ACCOUNTS];
};

room_share_t *
room_share_new (void)
{
  room_share_t *share = g_new0 (room_share_t, 1);

  share->milli = ROOM_SHARE_MAX_MILLI;
  return share;
}

void
room_share_free (room_share_t *share)
{
  g_free (share);
}

static void
move_share (room_share_t *share, uint64_t now_us, uint64_t queue_milli)
{
  uint64_t age_us = share->reported_us != 0 ? now_us - share->reported_us : 0;
  int64_t step_us = (int64_t)MIN (age_us, ROOM_SHARE_STEP_MAX_US);
  int64_t room_milli = MILLI - (int64_t)(queue_milli * MILLI / ROOM_SHARE_TARGET_MILLI);
  int64_t change_milli = room_milli * step_us / (int64_t)ROOM_SHARE_TIME_US;

  change_milli = CLAMP (change_milli, -STEP_DOWN_MAX_MILLI, STEP_UP_MAX_MILLI);
  /* Rounded up, since a small share would otherwise never grow. */
  share->milli +=
      (int32_t)((share->milli * change_milli + (change_milli > 0 ? MILLI - 1 : 0)) / MILLI);
  share->milli = CLAMP (share->milli, ROOM_SHARE_MIN_MILLI, ROOM_SHARE_MAX_MILLI);
  share->reported_us = now_us;
}

void
room_share_note_report (room_share_t *share, uint64_t now_us, uint32_t waiting, uint32_t slots)
{
  if (slots > 0)
    move_share (share, now_us, (uint64_t)waiting * MILLI / slots);
}

void
room_share_note_full (room_share_t *share, uint64_t now_us)
{
  move_share (share, now_us, FULL_QUEUE_MILLI);
}

static void
decay (room_share_t *share, uint64_t now_us)
{
  uint64_t eighths = (now_us - share->decayed_us) / (ROOM_SHARE_ACCOUNT_HALF_LIFE_US / 8);

  if (eighths == 0)
    return;
  /* 0.917 is the eighth root of one half. */
  for (uint64_t n = MIN (eighths, 64U); n > 0; n--)
    for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
      share->accounts[i].count_milli = share->accounts[i].count_milli * 917 / MILLI;
  share->decayed_us += eighths * (ROOM_SHARE_ACCOUNT_HALF_LIFE_US / 8);
}

/* Return: the entry of @account, or the one with the lowest count */
static account_count_t *
find_entry (room_share_t *share, uint64_t account)
{
  account_count_t *lowest = &share->accounts[0];

  for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
    {
      if (share->accounts[i].account == account)
        return &share->accounts[i];
      if (share->accounts[i].count_milli < lowest->count_milli)
        lowest = &share->accounts[i];
    }
  return lowest;
}

void
room_share_note_request (room_share_t *share, uint64_t now_us, uint64_t account)
{
  account_count_t *entry;

  decay (share, now_us);
  entry = find_entry (share, account);
  if (entry->account != account)
    *entry = (account_count_t){ .account = account };
  entry->count_milli += MILLI;
}

uint32_t
room_share_milli (const room_share_t *share)
{
  return MIN (share->milli, MILLI);
}

/* Return: the count above which accounts are cut, so that the share of all requests remains */
static uint64_t
level_milli (const room_share_t *share)
{
  uint64_t total_milli = 0;
  uint64_t level = 0;

  for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
    total_milli += share->accounts[i].count_milli;
  for (uint32_t round = 0; round < LEVEL_ROUNDS; round++)
    {
      uint64_t left_milli = total_milli * room_share_milli (share) / MILLI;
      uint64_t above = 0;

      for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
        if (share->accounts[i].count_milli > level)
          above++;
        else
          left_milli -= MIN (left_milli, share->accounts[i].count_milli);
      if (above == 0)
        break;
      level = MAX (level, left_milli / above);
    }
  return level;
}

bool
room_share_is_crowded_out (const room_share_t *share, uint64_t account)
{
  const account_count_t *largest = &share->accounts[0];
  uint64_t total_milli = 0;

  for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
    {
      total_milli += share->accounts[i].count_milli;
      if (share->accounts[i].count_milli > largest->count_milli)
        largest = &share->accounts[i];
    }
  return largest->account != account && total_milli >= ROOM_SHARE_CROWD_MIN_REQUESTS * MILLI &&
         largest->count_milli * MILLI > total_milli * ROOM_SHARE_CROWD_MILLI;
}

/* An account that is not in the table has few requests. */
bool
room_share_allows (const room_share_t *share, uint64_t account, uint32_t draw_milli)
{
  if (share->milli >= MILLI)
    return true;
  for (uint32_t i = 0; i < ROOM_SHARE_ACCOUNTS; i++)
    if (share->accounts[i].account == account && share->accounts[i].count_milli > 0)
      return draw_milli * share->accounts[i].count_milli < level_milli (share) * MILLI;
  return true;
}
