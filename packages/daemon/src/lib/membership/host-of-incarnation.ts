/** The name of the host that an incarnation belongs to. */
export const hostOfIncarnation = (incarnation: string): string => incarnation.slice(0, incarnation.indexOf('~'));
