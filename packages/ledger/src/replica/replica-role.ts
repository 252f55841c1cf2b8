/**
What this host does for a slot.

- `primary`: decides, and replies once the backup holds the change.
- `backup`: applies what the primary decided.
- `retired`: no part in it.
*/
export type ReplicaRole = 'primary' | 'backup' | 'retired';
