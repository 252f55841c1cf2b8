/**
What is wrong with an event. `event_id`: no header holds its id, so that no endpoint could resume the stream after it. `event_order`: it is the first of a
run that resumes a stream, and does not follow the event that was named to the endpoint. `event_too_long`: it does not end within `maxEventBytes`, or within what this host has room for and far above the size of most.
*/
export type EventFault = 'event_id' | 'event_order' | 'event_too_long';
