/**
 * DOC: connection_room
 *
 * Decides how a server keeps room for new connections within its limits on connections and on open
 * files. As a limit nears, answers bear "Connection: close", which meets no request on its way. At
 * the limit, those that have been idle for longest are closed. If all are in use, the server is
 * full: new connections are to go elsewhere.
 *
 * A pure state machine.
 */
#ifndef REQUEST_POLICY_QUEUEING_CONNECTION_ROOM_H
#define REQUEST_POLICY_QUEUEING_CONNECTION_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* A connection, its duplicate that detects a disconnect, and one towards an upstream. */
#define CONNECTION_ROOM_FILES 3
/* of a process, beside those of its client connections */
#define CONNECTION_ROOM_OTHER_FILES 512
#define CONNECTION_ROOM_BATCH 8 /* new connections for which room is kept */
/* One that has been idle for less may have its next request on the way. */
#define CONNECTION_ROOM_IDLE_US (UINT64_C (500) * 1000)
/* without room, until it counts as full */
#define CONNECTION_ROOM_FULL_US (UINT64_C (1000) * 1000)

/**
 * struct connection_limits - the limits of a server
 * @connections: connections of clients
 * @files: open files of the process, 0 for no limit
 */
typedef struct
{
  uint32_t connections;
  uint32_t files;
} connection_limits_t;

/**
 * struct connection_counts - what is open
 * @connections: all of them
 * @duplicates: of their descriptors
 * @busy: those with a request, each may have a connection towards an upstream
 */
typedef struct
{
  uint32_t connections;
  uint32_t duplicates;
  uint32_t busy;
} connection_counts_t;

/**
 * struct connection_room - whether a server is full; zeroed at first
 * @full_since_us: when it was found to have no room, 0 while it has some
 * @taken: connections taken until then
 */
typedef struct
{
  bool is_full;
  uint64_t full_since_us;
  uint64_t taken;
} connection_room_t;

/** connection_room_left() - new connections that can be taken */
uint32_t connection_room_left (const connection_limits_t *limits,
                               const connection_counts_t *counts);
/** connection_room_to_close() - idle connections that are to be closed, for a batch of new ones */
uint32_t connection_room_to_close (const connection_limits_t *limits,
                                   const connection_counts_t *counts);
/** connection_room_is_short() - whether answers are to bear "Connection: close" */
bool connection_room_is_short (const connection_limits_t *limits,
                               const connection_counts_t *counts);
/**
 * connection_room_review() - find out whether the server is full; to be called several times within
 * %CONNECTION_ROOM_FULL_US
 * @taken: connections that it has taken so far
 * Return: whether that has changed
 */
bool connection_room_review (connection_room_t *room,
                             uint64_t now_us,
                             const connection_limits_t *limits,
                             const connection_counts_t *counts,
                             uint64_t taken);

#endif
