/**
 * DOC: socket
 *
 * Socket options of a daemon's TCP connections, and how these end.
 */
#ifndef CONNECTION_SOCKET_H
#define CONNECTION_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * socket_set_options() - set the options of a connection, or of a listener, whose connections
 * inherit them
 *
 * Disables Nagle's algorithm: a streamed token must not wait until the one before it is
 * acknowledged. Enables keep-alive probes: a peer whose host or data centre has failed sends no
 * reset, so its connection is closed after %LIMIT_HTTP_DEAD_PEER_S, even while a long response is
 * outstanding. A process that is only slow or suspended is not affected, since its kernel answers
 * the probes.
 */
void socket_set_options (int fd);

/**
 * socket_set_client_options() - set the options of a connection that sends requests
 *
 * Adds a limit on unacknowledged data (TCP_USER_TIMEOUT) to those of socket_set_options(). It is
 * not set where responses are sent: there it would also cut a stream whose reader is slow, since
 * the kernel treats a closed receive window like missing acknowledgements.
 */
void socket_set_client_options (int fd);

/** socket_has_unacknowledged() - whether the peer's kernel may lack some of the bytes sent */
bool socket_has_unacknowledged (int fd);

/** socket_file_limit() - open files that the process may have, at most @limit unless that is 0;
 * 0 for no limit */
uint32_t socket_file_limit (uint32_t limit);

/** socket_reset() - end a connection by a reset at once; what was not sent yet is discarded */
void socket_reset (int fd);

#endif
