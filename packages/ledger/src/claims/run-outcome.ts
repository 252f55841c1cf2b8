/**
How a run ended.

- `not_run`: no byte reached an endpoint; nothing is charged.
- `finished`: the endpoint sent its complete response.
- `failed`: the endpoint broke off the request; the number of tokens that it served is known.
- `lost`: contact with the endpoint was lost and the outcome is unknown; the reservation stays until another outcome is settled or the claim expires.
*/
export type RunOutcome = 'not_run' | 'finished' | 'failed' | 'lost';
