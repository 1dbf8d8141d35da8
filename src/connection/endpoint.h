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

/** endpoint_t - a socket address and its length @bytes, as bind() and sendto() take it */
typedef struct
{
  struct sockaddr_storage address;
  socklen_t bytes;
} endpoint_t;

/** endpoint_from_address() - convert an address. Return: false when @address is not an IP number */
bool endpoint_from_address (endpoint_t *endpoint, const address_t *address);
/** endpoint_equal() - whether family, IP number and port are equal */
bool endpoint_equal (const endpoint_t *a, const endpoint_t *b);
/** endpoint_to_address() - convert back to the form of the settings */
address_t endpoint_to_address (const endpoint_t *endpoint);

#endif
