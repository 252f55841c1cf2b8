/**
Why a call to the object API did not succeed.

- `conflict`: the object has another version than expected; nothing was written.
- `missing`: there is no such object.
- `unavailable`: the call surely had no effect.
- `unknown`: a write may or may not have taken effect.
*/
export type StoreError = 'conflict' | 'missing' | 'unavailable' | 'unknown';
