/** In a hall of up to this many hosts each draws for itself and follows the store itself. */
export const smallHall = 4;
