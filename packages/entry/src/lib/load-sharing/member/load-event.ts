/** How a question to a load leader ended. `malformed`: the answer cannot be read. */
export type LoadEvent = 'answered' | 'unanswered' | 'malformed';
