/**
Where rights that a host lacks can come from.

- `allocators`: the hosts of its hall that draw for it.
- `store`: a draw of its own.
- `holders`: hosts of any hall that the store records as holders.
*/
export type RightsSource = 'allocators' | 'store' | 'holders';
