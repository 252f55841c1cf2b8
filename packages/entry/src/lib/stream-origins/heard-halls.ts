/**
What the replies to a question cover. `recent`: all halls, by hosts whose lists of endpoints were confirmed recently; `outdated`: all halls, by hosts
some of whose lists were confirmed longer ago; `partial`: a hall is missing.
*/
export type HeardHalls = 'recent' | 'outdated' | 'partial';
