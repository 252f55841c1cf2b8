/**
How a run ended.

- `not_run`: no byte reached an endpoint; nothing is charged.
- `finished`: the whole answer came.
- `failed`: it ran and broke off; what was served is known.
- `lost`: nobody knows; the reservation stays charged until the endpoint tells.
*/
export type RunOutcome = 'not_run' | 'finished' | 'failed' | 'lost';
