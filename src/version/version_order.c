#include "version/version_order.h"

bool
version_order_is_leap (uint64_t before, uint64_t version)
{
  return version > before && version - before > VERSION_ORDER_LEAP;
}

bool
version_order_take (version_order_t *order, uint64_t version)
{
  bool is_doubtful = version_order_is_leap (order->before, order->in_force);

  if (version == order->in_force || version <= order->before)
    return false;
  if (version < order->in_force && !is_doubtful)
    return false;
  if (version > order->in_force &&
      (!is_doubtful || !version_order_is_leap (order->in_force, version)))
    order->before = order->in_force;
  order->in_force = version;
  return true;
}
