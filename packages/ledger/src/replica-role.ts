/**
What this host does for a slot.

- `primary`: decides, and replies once the backup holds the change.
- `backup`: applies what the primary decided.
- `sealed`: takes nothing more, because it is asking the store for another pair.
- `retired`: no part in it.
*/
export type ReplicaRole = 'primary' | 'backup' | 'sealed' | 'retired';
