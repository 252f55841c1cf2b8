/** Returns the name of a host, given the name of one of its incarnations as a holder of rights (`host#incarnation`). */
export const hostOfHolder = (holder: string): string => holder.slice(0, holder.lastIndexOf('#'));
