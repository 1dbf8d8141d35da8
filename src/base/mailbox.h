/**
 * DOC: mailbox
 *
 * Message queue between the tasks (threads) of a process. One task receives the messages on its
 * event base, and any thread may send. mailbox_send() passes the ownership of a message to the
 * mailbox, which frees it after the handler has returned.
 */
#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include <event2/event.h>
#include <stdint.h>

typedef struct mailbox mailbox_t;

/**
 * struct mailbox_message - header of every message; the first member of the message's own struct
 * @kind: a message_kind_t
 * @free: frees the whole message with the references that it holds
 */
typedef struct mailbox_message mailbox_message_t;
struct mailbox_message
{
  uint32_t kind;
  void (*free) (mailbox_message_t *message);
};

/** mailbox_handler_t - called on the receiving thread; the message is freed after it returns */
typedef void (*mailbox_handler_t) (mailbox_message_t *message, void *context);

/** mailbox_new() - create a mailbox whose messages @handler receives on @base */
mailbox_t *mailbox_new (struct event_base *base, mailbox_handler_t handler, void *context);
/** mailbox_free() - free the mailbox with its unread messages; no thread may send to it any more */
void mailbox_free (mailbox_t *mailbox);
/** mailbox_send() - queue @message, which the mailbox then owns; safe from any thread, never waits
 * for the receiver */
void mailbox_send (mailbox_t *mailbox, mailbox_message_t *message);

#endif
