/**
 * DOC: admin_seal
 *
 * Authenticates commands that the command-line tool sends to a daemon: an HMAC-SHA256 under the
 * fleet key over the command, the host name and the time. Anyone who captures such a command can
 * replay it for as long as its time is accepted, so only idempotent commands are sealed this way.
 */
#ifndef CONNECTION_ADMIN_SEAL_H
#define CONNECTION_ADMIN_SEAL_H

#include <stdbool.h>
#include <stdint.h>

#define ADMIN_SEAL_HEADER "X-Medlarplank-Seal"
#define ADMIN_SEAL_DRAIN "drain"

/* accepted difference between the sender's clock and the daemon's */
#define ADMIN_SEAL_WINDOW_S 60

/**
 * admin_seal_make() - compute the seal of a command
 * @order: the command, for example %ADMIN_SEAL_DRAIN
 * @time_s: Unix time
 *
 * Return: the HMAC in lower-case hex, to be freed by g_free()
 */
char *admin_seal_make (const char *fleet_key, const char *order, const char *host, uint64_t time_s);

/**
 * admin_seal_check() - verify the seal of a command
 *
 * Compares in constant time, so that an attacker can't find a valid seal byte by byte from response
 * times.
 *
 * Return: true when @seal is valid and @time_s is within %ADMIN_SEAL_WINDOW_S of @now_s
 */
bool admin_seal_check (const char *fleet_key,
                       const char *order,
                       const char *host,
                       uint64_t time_s,
                       uint64_t now_s,
                       const char *seal);

#endif
