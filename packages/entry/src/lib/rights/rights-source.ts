/**
Where a host can acquire rights that it lacks.

- `allocators`: the hosts of the same data hall that draw rights for it.
- `store`: the host's own draw from the store.
- `holders`: hosts of any data hall that the store records as holders of the budget's rights.
*/
export type RightsSource = 'allocators' | 'store' | 'holders';
