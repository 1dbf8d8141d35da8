#include "base/mailbox.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/eventfd.h>
#include <unistd.h>

/**
 * struct mailbox - a message queue with an eventfd that wakes its receiver
 * @lock: protects @unread
 * @unread: messages in the order in which they were sent
 * @wake_fd: eventfd; readable from the first message of a batch until the receiver takes the batch
 * @wake: event of @wake_fd on the receiver's event base
 * @handler: called for each message
 * @context: argument of @handler
 */
struct mailbox
{
  GMutex lock;
  GQueue unread;
  int wake_fd;
  struct event *wake;
  mailbox_handler_t handler;
  void *context;
};

static GQueue
take_batch (mailbox_t *mailbox)
{
  GQueue batch;

  g_mutex_lock (&mailbox->lock);
  batch = mailbox->unread;
  g_queue_init (&mailbox->unread);
  g_mutex_unlock (&mailbox->lock);
  return batch;
}

/*
 * The eventfd is cleared before the batch is taken. In the opposite order, a message sent in
 * between would stay unread until the next one: its sender would find the queue empty and signal
 * the eventfd, and that signal would be cleared here.
 */
static void
on_wake (evutil_socket_t fd, short events, void *context)
{
  mailbox_t *mailbox = context;
  mailbox_message_t *message;
  eventfd_t ignored;
  GQueue batch;

  (void)events;
  eventfd_read (fd, &ignored);
  batch = take_batch (mailbox);
  while ((message = g_queue_pop_head (&batch)) != NULL)
    {
      mailbox->handler (message, mailbox->context);
      message->free (message);
    }
}

static void
wake_receiver (mailbox_t *mailbox)
{
  int result;

  do
    result = eventfd_write (mailbox->wake_fd, 1);
  while (result < 0 && errno == EINTR);
  g_assert (result == 0);
}

mailbox_t *
mailbox_new (struct event_base *base, mailbox_handler_t handler, void *context)
{
  mailbox_t *mailbox = g_new0 (mailbox_t, 1);

  g_mutex_init (&mailbox->lock);
  g_queue_init (&mailbox->unread);
  mailbox->handler = handler;
  mailbox->context = context;
  mailbox->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  g_assert (mailbox->wake_fd >= 0);
  mailbox->wake = event_new (base, mailbox->wake_fd, EV_READ | EV_PERSIST, on_wake, mailbox);
  g_assert (mailbox->wake != NULL);
  event_add (mailbox->wake, NULL);
  return mailbox;
}

void
mailbox_free (mailbox_t *mailbox)
{
  mailbox_message_t *message;

  if (mailbox == NULL)
    return;
  event_free (mailbox->wake);
  close (mailbox->wake_fd);
  while ((message = g_queue_pop_head (&mailbox->unread)) != NULL)
    message->free (message);
  g_mutex_clear (&mailbox->lock);
  g_free (mailbox);
}

void
mailbox_send (mailbox_t *mailbox, mailbox_message_t *message)
{
  bool was_empty;

  g_assert (message->free != NULL);
  g_mutex_lock (&mailbox->lock);
  was_empty = g_queue_is_empty (&mailbox->unread);
  g_queue_push_tail (&mailbox->unread, message);
  g_mutex_unlock (&mailbox->lock);
  if (was_empty)
    wake_receiver (mailbox);
}
