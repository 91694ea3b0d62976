// Compiles the header of key_value_store on its own.

#include "marjoramslip/kv/key_value_store.h"
