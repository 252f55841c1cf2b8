/** How long this host relies on what it last read of a slot's object in the store before it peeks at the object again, in ms. */
export const maxViewAgeMs = 2500;
