#pragma once

// Public header of the library port_fakes: implementations of the backend port
// and the platform port in memory, over the models of the library standins. A
// test bench drives them, and the decisions behind the ports, on its own clock.

#include "port_fakes/fake_backend.h"    // IWYU pragma: export
#include "port_fakes/fake_instance.h"   // IWYU pragma: export
#include "port_fakes/fake_platform.h"   // IWYU pragma: export
#include "port_fakes/instance_calls.h"  // IWYU pragma: export
