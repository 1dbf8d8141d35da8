#include "request/messages.h"

#include <glib.h>

static void
free_plain (mailbox_message_t *message)
{
  g_free (message);
}

static void
free_version (mailbox_message_t *message)
{
  message_version_t *version = (message_version_t *)message;

  if (version->manifest != NULL)
    manifest_unref (version->manifest);
  g_free (version);
}

static void
free_members (mailbox_message_t *message)
{
  message_members_t *members = (message_members_t *)message;

  if (members->members != NULL)
    membership_snapshot_unref (members->members);
  g_free (members);
}

static size_t
message_bytes (message_kind_t kind)
{
  switch (kind)
    {
    case MESSAGE_VERSION:
      return sizeof (message_version_t);
    case MESSAGE_MEMBERS:
      return sizeof (message_members_t);
    case MESSAGE_LOAD_SAMPLES:
    case MESSAGE_OWN_LOAD_SAMPLE:
      return sizeof (message_load_samples_t);
    case MESSAGE_CRASH_MARKS:
    case MESSAGE_NEW_CRASH_MARK:
      return sizeof (message_crash_marks_t);
    case MESSAGE_CLAIM:
      return sizeof (message_claim_t);
    case MESSAGE_CLAIM_RESULT:
      return sizeof (message_claim_result_t);
    case MESSAGE_CLAIM_END:
      return sizeof (message_claim_end_t);
    case MESSAGE_FRESHNESS:
    case MESSAGE_DRAIN:
    case MESSAGE_LEAVE_ORDERED:
    case MESSAGE_DRAINED:
    case MESSAGE_PAUSE_DETECTED:
      return sizeof (message_flag_t);
    }
  g_assert_not_reached ();
}

void *
message_new (message_kind_t kind)
{
  mailbox_message_t *message = g_malloc0 (message_bytes (kind));

  message->kind = kind;
  message->free = free_plain;
  if (kind == MESSAGE_VERSION)
    message->free = free_version;
  if (kind == MESSAGE_MEMBERS)
    message->free = free_members;
  return message;
}
