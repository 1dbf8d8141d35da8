/**
 * DOC: endpoint
 *
 * IPv4 and IPv6 socket addresses: conversion from and to addresses of the settings, comparison.
 */
#ifndef CONNECTION_ENDPOINT_H
#define CONNECTION_ENDPOINT_H

#include "base/settings.h"

#include <stdbool.h>
#include <sys/socket.h>

/** edp_t - a socket address and its length @bytes, as bind() and sendto() take it */
typedef struct
{
  struct sockaddr_storage address;
  socklen_t bytes;
} edp_t;

/** edp_make() - convert an address. Return: false when @address is not an IP number */
bool edp_make (edp_t *endpoint, const set_address_t *address);
/** edp_same() - whether family, IP number and port are equal */
bool edp_same (const edp_t *a, const edp_t *b);
/** edp_address() - convert back to the form of the settings */
set_address_t edp_address (const edp_t *endpoint);

#endif
