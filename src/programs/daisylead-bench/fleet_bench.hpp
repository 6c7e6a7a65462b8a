/** @file Slopes of what instances tell each other and of the configuration. */
#pragma once

namespace daisylead::bench
{

/** Prints the encoded size of each message between instances. */
void bench_messages();

/** Prints time and memory of a configuration by number of organisations. */
void bench_configuration();

/** Prints the time of a ping, a reservation and a claim. */
void bench_decisions();

} // namespace daisylead::bench
