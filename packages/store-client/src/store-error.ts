/**
Why a call to the platform failed.

- `conflict`: the object's version is not the expected one; nothing was written.
- `missing`: the object does not exist, or a watch ended without a new version.
- `unavailable`: the call certainly had no effect, because the platform could not be reached or rejected the call at its rate limit.
- `unknown`: any other failure; a write may or may not have taken effect.
*/
export type StoreError = 'conflict' | 'missing' | 'unavailable' | 'unknown';
