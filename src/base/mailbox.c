#include "base/mailbox.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/eventfd.h>
#include <unistd.h>

/**
 * struct mbx - a message queue with an eventfd that wakes its receiver
 * @lock: protects @unread
 * @unread: messages in the order in which they were sent
 * @wake_fd: eventfd; readable from the first message of a batch until the receiver takes the batch
 * @wake: event of @wake_fd on the receiver's event base
 * @handler: called for each message
 * @context: argument of @handler
 */
struct mbx
{
  GMutex lock;
  GQueue unread;
  int wake_fd;
  struct event *wake;
  mbx_handler_t handler;
  void *context;
};

static GQueue
take_batch (mbx_t *mbx)
{
  GQueue batch;

  g_mutex_lock (&mbx->lock);
  batch = mbx->unread;
  g_queue_init (&mbx->unread);
  g_mutex_unlock (&mbx->lock);
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
  mbx_t *mbx = context;
  mbx_message_t *message;
  eventfd_t ignored;
  GQueue batch;

  (void)events;
  eventfd_read (fd, &ignored);
  batch = take_batch (mbx);
  while ((message = g_queue_pop_head (&batch)) != NULL)
    {
      mbx->handler (message, mbx->context);
      message->free (message);
    }
}

static void
wake_receiver (mbx_t *mbx)
{
  int result;

  do
    result = eventfd_write (mbx->wake_fd, 1);
  while (result < 0 && errno == EINTR);
  g_assert (result == 0);
}

mbx_t *
mbx_new (struct event_base *base, mbx_handler_t handler, void *context)
{
  mbx_t *mbx = g_new0 (mbx_t, 1);

  g_mutex_init (&mbx->lock);
  g_queue_init (&mbx->unread);
  mbx->handler = handler;
  mbx->context = context;
  mbx->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  g_assert (mbx->wake_fd >= 0);
  mbx->wake = event_new (base, mbx->wake_fd, EV_READ | EV_PERSIST, on_wake, mbx);
  g_assert (mbx->wake != NULL);
  event_add (mbx->wake, NULL);
  return mbx;
}

void
mbx_free (mbx_t *mbx)
{
  mbx_message_t *message;

  if (mbx == NULL)
    return;
  event_free (mbx->wake);
  close (mbx->wake_fd);
  while ((message = g_queue_pop_head (&mbx->unread)) != NULL)
    message->free (message);
  g_mutex_clear (&mbx->lock);
  g_free (mbx);
}

void
mbx_send (mbx_t *mbx, mbx_message_t *message)
{
  bool was_empty;

  g_assert (message->free != NULL);
  g_mutex_lock (&mbx->lock);
  was_empty = g_queue_is_empty (&mbx->unread);
  g_queue_push_tail (&mbx->unread, message);
  g_mutex_unlock (&mbx->lock);
  if (was_empty)
    wake_receiver (mbx);
}
