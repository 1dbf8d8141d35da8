/**
 * DOC: socket
 *
 * Options of the TCP sockets of a daemon.
 */
#ifndef CONNECTION_SOCKET_H
#define CONNECTION_SOCKET_H

/**
 * sck_tune() - options of a connection, or of a listener whose connections inherit them
 *
 * A token must not wait until the one before it is acknowledged. A peer whose host or data centre
 * is gone sends no reset; it is given up after %LIM_HTTP_DEAD_PEER_S, however long the answer may
 * take. A process that is merely slow or paused is not, since its kernel acknowledges for it.
 */
void sck_tune (int fd);

/**
 * sck_tune_client() - options of a connection that sends requests
 *
 * A request that is never acknowledged is given up as well. Not so for answers: the limit would
 * also cut a stream whose reader is slow, since a closed window counts as nothing acknowledged.
 */
void sck_tune_client (int fd);

#endif
