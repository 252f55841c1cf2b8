/**
This host's role in serving a slot.

- `primary`: decides requests, and replies once the backup holds the change.
- `backup`: applies the ops that the primary decided.
- `retired`: the host has no role in the slot.
*/
export type ReplicaRole = 'primary' | 'backup' | 'retired';
