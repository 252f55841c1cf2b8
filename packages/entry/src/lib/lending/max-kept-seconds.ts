/** A host with steady demand keeps at most this many seconds of its own demand: twice what it borrows ahead, so that it does not hand back what it has just borrowed. */
export const maxKeptSeconds = 3;
