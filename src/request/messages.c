#include "request/messages.h"

#include <glib.h>

static void
free_plain (mbx_message_t *message)
{
  g_free (message);
}

static void
free_version (mbx_message_t *message)
{
  msg_version_t *version = (msg_version_t *)message;

  if (version->man != NULL)
    man_unref (version->man);
  g_free (version);
}

static void
free_members (mbx_message_t *message)
{
  msg_members_t *members = (msg_members_t *)message;

  if (members->members != NULL)
    membership_snapshot_unref (members->members);
  g_free (members);
}

static size_t
message_bytes (msg_kind_t kind)
{
  switch (kind)
    {
    case MSG_VERSION:
      return sizeof (msg_version_t);
    case MSG_MEMBERS:
      return sizeof (msg_members_t);
    case MSG_SAMPLES:
    case MSG_OWN_SAMPLE:
      return sizeof (msg_samples_t);
    case MSG_MARKS:
    case MSG_NEW_MARK:
      return sizeof (msg_marks_t);
    case MSG_CLAIM:
      return sizeof (msg_claim_t);
    case MSG_CLAIM_RESULT:
      return sizeof (msg_claim_result_t);
    case MSG_CLAIM_END:
      return sizeof (msg_claim_end_t);
    case MSG_FRESHNESS:
    case MSG_DRAIN:
    case MSG_LEAVE:
    case MSG_DRAINED:
    case MSG_WOKE:
      return sizeof (msg_flag_t);
    }
  g_assert_not_reached ();
}

void *
msg_new (msg_kind_t kind)
{
  mbx_message_t *message = g_malloc0 (message_bytes (kind));

  message->kind = kind;
  message->free = free_plain;
  if (kind == MSG_VERSION)
    message->free = free_version;
  if (kind == MSG_MEMBERS)
    message->free = free_members;
  return message;
}
