/**
What a host found out about a response that only the end of its connection ended.

`confirmed`: its endpoint still runs, so it ended the response itself. `refused`: the endpoint's port refuses, or another endpoint answers there, so its
process has ended. `silent`: nobody answers there. `unconfirmed`: the peer through which the response came does not say that the endpoint ended it. `empty`:
it is a success without a byte of a body, or a stream without an event, and so is no response whoever ended it.
*/
export type EndCheck = 'confirmed' | 'refused' | 'silent' | 'unconfirmed' | 'empty';
