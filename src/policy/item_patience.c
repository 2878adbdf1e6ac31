#include "policy/item_patience.h"

int64_t item_patience_ms(unsigned silent_runs)
{
	int64_t ms = ITEM_PATIENCE_MS;

	while (silent_runs-- > 0 && ms < ITEM_PATIENCE_MAX_MS)
		ms *= 2;
	return ms;
}
